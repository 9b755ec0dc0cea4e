package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/transport"
)

const waitInterval = 250 * time.Millisecond

// zoneStatus is the rollout status of a revision in one zone.
type zoneStatus struct {
	Location api.Location `json:"location"`
	Nodes    int          `json:"nodes"`
	InForce  int          `json:"in_force"` // nodes that have at least the revision
	Oldest   int64        `json:"oldest"`   // oldest revision in force
}

func (s *session) readNodes() ([]api.Node, error) {
	if err := s.requireNode(); err != nil {
		return nil, err
	}
	ctx, cancel := s.newContext()
	defer cancel()
	var nodes []api.Node
	err := transport.Get(ctx, s.client, "list nodes", s.node, api.PathNodes, &nodes)
	return nodes, err
}

func (s *session) showStatus() error {
	nodes, err := s.readNodes()
	if err != nil {
		return err
	}
	newest := int64(0)
	for _, node := range nodes {
		newest = max(newest, node.TableRevision)
	}
	zones := countByZone(nodes, newest)
	var lines []string
	for _, zone := range zones {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%d\t%d\t%d\t%d", zone.Location.Region, zone.Location.Zone,
			zone.Nodes, zone.InForce, newest, zone.Oldest))
	}
	return s.print(zones, "REGION\tZONE\tNODES\tAT NEWEST\tNEWEST\tOLDEST", lines)
}

// countByZone counts the nodes with the revision in force per zone, sorted by zone.
func countByZone(nodes []api.Node, revision int64) []zoneStatus {
	byLocation := map[api.Location]*zoneStatus{}
	for _, node := range nodes {
		zone, ok := byLocation[node.Location]
		if !ok {
			zone = &zoneStatus{Location: node.Location, Oldest: node.TableRevision}
			byLocation[node.Location] = zone
		}
		zone.Nodes++
		zone.Oldest = min(zone.Oldest, node.TableRevision)
		if node.TableRevision >= revision {
			zone.InForce++
		}
	}
	zones := make([]zoneStatus, 0, len(byLocation))
	for _, zone := range byLocation {
		zones = append(zones, *zone)
	}
	slices.SortFunc(zones, func(a, b zoneStatus) int {
		return strings.Compare(zoneName(a.Location), zoneName(b.Location))
	})
	return zones
}

func zoneName(location api.Location) string {
	return string(location.Region) + "/" + string(location.Zone)
}

func describeZones(zones []zoneStatus) string {
	parts := make([]string, 0, len(zones))
	for _, zone := range zones {
		parts = append(parts, fmt.Sprintf("%s %d of %d nodes", zoneName(zone.Location), zone.InForce, zone.Nodes))
	}
	return strings.Join(parts, ", ")
}

func inForceEverywhere(zones []zoneStatus) bool {
	return len(zones) > 0 && !slices.ContainsFunc(zones, func(zone zoneStatus) bool { return zone.InForce < zone.Nodes })
}
