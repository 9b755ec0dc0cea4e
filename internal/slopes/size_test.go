package slopes

import (
	"fmt"
	"testing"

	"github.com/dykewing/dykewing/api"
)

// Size describes the size of a fleet.
type Size struct {
	Routers  int `json:"routers"`
	Stores   int `json:"stores"`
	Sidecars int `json:"sidecars"`
	Workers  int `json:"workers"`
	Models   int `json:"models"` // services
	Tenants  int `json:"tenants"`
	Regions  int `json:"regions"`
	Zones    int `json:"zones"` // also the number of places in the table
}

// DesignSize returns the fleet size that the system is designed for: 670 nodes, with
// about 27 routers, 3 stores and 15 sidecars per zone. The split between the roles
// is an assumption.
func DesignSize() Size {
	return Size{
		Routers: 400, Stores: 45, Sidecars: 225, Workers: 10_000,
		Models: 24, Tenants: 4_300, Regions: 6, Zones: 15,
	}
}

// Nodes returns the number of processes.
func (s Size) Nodes() int { return s.Routers + s.Stores + s.Sidecars }

// Rows returns the number of table rows, one per model and place.
func (s Size) Rows() int { return s.Models * s.Zones }

// WithNodes scales the roles and workers proportionally to the given number of
// nodes. Models, tenants, regions and zones are unchanged.
func (s Size) WithNodes(nodes int) Size {
	total := s.Nodes()
	scaled := s
	scaled.Stores = max(s.Stores*nodes/total, 1)
	scaled.Sidecars = max(s.Sidecars*nodes/total, 1)
	scaled.Routers = max(nodes-scaled.Stores-scaled.Sidecars, 1)
	scaled.Workers = max(s.Workers*nodes/total, 1)
	return scaled
}

// Place returns the name of a zone's place.
func (s Size) Place(zone int) api.PlaceName { return api.PlaceName(fmt.Sprintf("place-%02d", zone)) }

// Location returns the location of a zone. Zones are assigned to regions
// round-robin.
func (s Size) Location(zone int) api.Location {
	return api.Location{
		Region: api.RegionName(fmt.Sprintf("region-%d", zone%max(s.Regions, 1))),
		Zone:   api.ZoneName(fmt.Sprintf("zone-%02d", zone)),
	}
}

// Service returns the service name of a model.
func (s Size) Service(model int) api.ServiceName {
	return api.ServiceName(fmt.Sprintf("model-%02d", model))
}

// TableRows returns the rows of the table in order of revision.
func (s Size) TableRows() []api.VersionedRow {
	rows := make([]api.VersionedRow, 0, s.Rows())
	for model := range s.Models {
		for zone := range s.Zones {
			rows = append(rows, api.VersionedRow{
				Row: api.Row{
					Service: s.Service(model), Place: s.Place(zone), Weight: 100, BatchAllowance: 1_000,
					CeilingConcurrency: 10_000, Priority: 1, Repeatable: true,
				},
				Revision: int64(len(rows) + 1),
				EditID:   fmt.Sprintf("edit-%08d-0000-0000-0000-000000000000", len(rows)),
			})
		}
	}
	return rows
}

const slotsPerWorker = 32

// WorkerList returns the workers, assigned round-robin to zones and, within each
// zone, to models.
func (s Size) WorkerList() []api.Worker {
	workers := make([]api.Worker, s.Workers)
	for i := range workers {
		zone := i % s.Zones
		workers[i] = api.Worker{
			ID:      api.WorkerID(fmt.Sprintf("worker-%05d", i)),
			Address: fmt.Sprintf("10.%d.%d.%d:8000", 100+zone, i/250%250, i%250+1),
			Service: s.Service(i / s.Zones % s.Models), Place: s.Place(zone),
			Location: s.Location(zone), Slots: slotsPerWorker,
		}
	}
	return workers
}

// NodeList returns the processes without summaries. Each role is assigned
// round-robin to zones.
func (s Size) NodeList() []api.Node {
	var nodes []api.Node
	add := func(role api.Role, count int) {
		for i := range count {
			zone := i % s.Zones
			nodes = append(nodes, api.Node{
				ID: api.NodeID(fmt.Sprintf("%s-%04d", role, i)), Role: role,
				Address:  fmt.Sprintf("10.%d.%d.%d:7000", zone, len(nodes)/250, len(nodes)%250+1),
				Location: s.Location(zone), Incarnation: uint64(1_790_000_000_000 + i), TableRevision: int64(s.Rows()),
			})
		}
	}
	add(api.RoleRouter, s.Routers)
	add(api.RoleStore, s.Stores)
	add(api.RoleSidecar, s.Sidecars)
	return nodes
}

func TestWithNodesKeepsProportions(t *testing.T) {
	for _, nodes := range []int{5, 50, 150, 300, 670} {
		size := DesignSize().WithNodes(nodes)
		if size.Nodes() != nodes || len(size.NodeList()) != nodes || len(size.WorkerList()) != size.Workers {
			t.Errorf("%d nodes gave %+v", nodes, size)
		}
	}
	counts := map[api.Location]int{}
	for _, worker := range DesignSize().WorkerList() {
		counts[worker.Location]++
	}
	if len(counts) != DesignSize().Zones {
		t.Errorf("workers are in %d zones", len(counts))
	}
}
