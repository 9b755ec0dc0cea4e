package slopes

import (
	"fmt"
	"testing"

	"github.com/dykewing/dykewing/api"
)

// Size is how large a fleet is.
type Size struct {
	Routers  int `json:"routers"`
	Stores   int `json:"stores"`
	Sidecars int `json:"sidecars"`
	Workers  int `json:"workers"`
	Models   int `json:"models"` // services
	Tenants  int `json:"tenants"`
	Regions  int `json:"regions"`
	Zones    int `json:"zones"` // also the places of the table
}

// DesignSize is the size that decides the design. Of its 670 nodes, the split
// between the roles is an assumption: 27 routers, 3 stores and about 15
// sidecars a zone.
func DesignSize() Size {
	return Size{
		Routers: 400, Stores: 45, Sidecars: 225, Workers: 10_000,
		Models: 24, Tenants: 4_300, Regions: 6, Zones: 15,
	}
}

// Nodes is how many processes there are.
func (s Size) Nodes() int { return s.Routers + s.Stores + s.Sidecars }

// Rows is how many rows the table has: each model in each place.
func (s Size) Rows() int { return s.Models * s.Zones }

// WithNodes keeps the proportions of roles and workers at another number of
// nodes; models, tenants, regions and zones stay.
func (s Size) WithNodes(nodes int) Size {
	total := s.Nodes()
	scaled := s
	scaled.Stores = max(s.Stores*nodes/total, 1)
	scaled.Sidecars = max(s.Sidecars*nodes/total, 1)
	scaled.Routers = max(nodes-scaled.Stores-scaled.Sidecars, 1)
	scaled.Workers = max(s.Workers*nodes/total, 1)
	return scaled
}

// Place gives the name of a zone's place.
func (s Size) Place(zone int) api.PlaceName { return api.PlaceName(fmt.Sprintf("place-%02d", zone)) }

// Location gives the location of a zone; zones are dealt out to the regions.
func (s Size) Location(zone int) api.Location {
	return api.Location{
		Region: api.RegionName(fmt.Sprintf("region-%d", zone%max(s.Regions, 1))),
		Zone:   api.ZoneName(fmt.Sprintf("zone-%02d", zone)),
	}
}

// Service gives the name of a model.
func (s Size) Service(model int) api.ServiceName {
	return api.ServiceName(fmt.Sprintf("model-%02d", model))
}

// TableRows gives the rows of the table, oldest revision first.
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

const slotsOfWorker = 32

// WorkerList gives the workers, dealt out to zones and, within each, to models.
func (s Size) WorkerList() []api.Worker {
	workers := make([]api.Worker, s.Workers)
	for i := range workers {
		zone := i % s.Zones
		workers[i] = api.Worker{
			ID:      api.WorkerID(fmt.Sprintf("worker-%05d", i)),
			Address: fmt.Sprintf("10.%d.%d.%d:8000", 100+zone, i/250%250, i%250+1),
			Service: s.Service(i / s.Zones % s.Models), Place: s.Place(zone),
			Location: s.Location(zone), Slots: slotsOfWorker,
		}
	}
	return workers
}

// NodeList gives the processes without summaries, dealt out to zones.
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

func TestSizeKeepsProportions(t *testing.T) {
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
