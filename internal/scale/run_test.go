package scale

import (
	"context"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
)

func smallOptions() Options {
	options := DefaultOptions(Size{Routers: 9, Stores: 3, Sidecars: 3, Workers: 45, Models: 2, Tenants: 10, Regions: 2, Zones: 3})
	options.Jobs, options.Duration, options.EditInterval = 9, 40*time.Second, 5*time.Second
	return options
}

func runSmall(t *testing.T, options Options) Result {
	t.Helper()
	result, err := Run(context.Background(), options, Wire{RequestHeader: 145, ResponseHeader: 110})
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func TestSmallFleetConvergesAndHeals(t *testing.T) {
	result := runSmall(t, smallOptions())
	if result.Missing != 0 {
		t.Errorf("%d pairs of nodes of one zone do not see each other", result.Missing)
	}
	if result.InForce.Edits == 0 || result.InForce.Missing != 0 {
		t.Errorf("edits in force: %+v", result.InForce)
	}
	for _, fault := range result.Faults {
		if fault.Detection.Observers == 0 || fault.Detection.StillSeeing != 0 {
			t.Errorf("crash of %s: %+v", fault.Name, fault.Detection)
		}
		if fault.Homes.UnsettledLast >= smallOptions().FaultWindow-time.Second {
			t.Errorf("crash of %s: workers are not at one home: %+v", fault.Name, fault.Homes)
		}
	}
	for _, role := range result.Roles {
		if role.Nodes == 0 || role.Sent <= 0 || role.Processor <= 0 {
			t.Errorf("nothing was measured of %s: %+v", role.Role, role)
		}
	}
}

// TestNoDetectionWithoutSuspicion shows that the check of detection can fail:
// with an endless suspicion the crashed nodes stay in view.
func TestNoDetectionWithoutSuspicion(t *testing.T) {
	options := smallOptions()
	options.SuspectTimeout, options.FaultWindow = time.Hour, 20*time.Second
	if result := runSmall(t, options); result.Faults[0].Detection.StillSeeing == 0 {
		t.Fatal("a node that is never taken for dead was found gone")
	}
}

// TestEditsAreMissedWithoutWatchers shows that the check of edits can fail.
func TestEditsAreMissedWithoutWatchers(t *testing.T) {
	options := smallOptions()
	options.Size.Routers, options.FaultWindow = 0, 0
	if result := runSmall(t, options); result.InForce.Missing == 0 {
		t.Fatal("edits came into force though no router watches the service")
	}
}

func TestSameSeedGivesSameBytes(t *testing.T) {
	options := smallOptions()
	options.FaultWindow = 0
	first, second := runSmall(t, options), runSmall(t, options)
	for i := range first.Roles {
		if first.Roles[i].Sent != second.Roles[i].Sent || first.Roles[i].Messages != second.Roles[i].Messages {
			t.Fatalf("two runs of one seed sent %+v and %+v", first.Roles[i], second.Roles[i])
		}
	}
}

func TestFitFindsTheLine(t *testing.T) {
	slope := Fit("bytes", "nodes", []float64{50, 150, 300}, []float64{110, 310, 610})
	if slope.PerUnit < 1.999 || slope.PerUnit > 2.001 || slope.At(670) < 1349 || slope.At(670) > 1351 {
		t.Fatalf("fitted %+v", slope)
	}
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

// TestSlopesAreFittedForEachSweptSize holds that a sweep gives a line for each
// size that it varies, and none where another size varies too.
func TestSlopesAreFittedForEachSweptSize(t *testing.T) {
	base := DefaultOptions(smallOptions().Size)
	var results []Result
	for _, options := range append([]Options{base}, Sweep(base, base.Size)...) {
		role := RoleResult{Role: api.RoleRouter, Sent: 100 + 3*float64(options.Size.Workers) + 5*float64(options.Jobs)}
		results = append(results, Result{Size: options.Size, Jobs: options.Jobs, Items: options.ItemsOfJob, Roles: []RoleResult{role}})
	}
	perUnit := map[string]float64{}
	for _, slope := range slopes(results) {
		if slope.What == "router sent bytes/s" {
			perUnit[slope.Of] = slope.PerUnit
		}
	}
	want := map[string]float64{"workers": 3, "services": 0, "tenants": 0, "jobs": 5, "items of a job": 0}
	for size, expected := range want {
		if got, ok := perUnit[size]; !ok || got < expected-0.001 || got > expected+0.001 {
			t.Errorf("slope over %s is %v (%v), want %v", size, got, ok, expected)
		}
	}
	if len(perUnit) != len(want) {
		t.Errorf("slopes over %v", perUnit)
	}
}
