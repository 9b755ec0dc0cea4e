package scale

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/dykewing/dykewing/api"
)

// Options of a run at one size.
type Options struct {
	Size           Size          `json:"size"`
	Seed           uint64        `json:"seed"`
	Interval       time.Duration `json:"interval"`        // between heartbeats
	SuspectTimeout time.Duration `json:"suspect_timeout"` // of membership
	WarmUp         time.Duration `json:"warm_up"`         // virtual, before anything is measured
	Duration       time.Duration `json:"duration"`        // virtual, of steady work
	FaultWindow    time.Duration `json:"fault_window"`    // virtual, after each crash; 0 makes none
	EditInterval   time.Duration `json:"edit_interval"`   // between changes of the table
	Jobs           int           `json:"jobs"`            // batch jobs that wait, in the whole fleet
	ItemsOfJob     int           `json:"items_of_job"`

	Progress func(string) `json:"-"`
}

// DefaultOptions are those of the daemons' defaults, with 6,600 changes a day.
func DefaultOptions(size Size) Options {
	return Options{
		Size: size, Seed: 1, Interval: time.Second, SuspectTimeout: 5 * time.Second,
		WarmUp: 30 * time.Second, Duration: time.Minute, FaultWindow: 40 * time.Second,
		EditInterval: 13 * time.Second, Jobs: 2_000, ItemsOfJob: 20,
		Progress: func(string) {},
	}
}

// Fault is what followed a crash.
type Fault struct {
	Name      string    `json:"name"`
	Crashed   int       `json:"crashed"`
	Detection Detection `json:"detection"`
	Homes     HomeGap   `json:"homes"`
	PeakBytes int64     `json:"peak_bytes"` // most that a node sent within a second
}

// InForce is how long edits took until each node had them in force.
type InForce struct {
	Edits   int           `json:"edits"`
	Median  time.Duration `json:"median"`
	Worst   time.Duration `json:"worst"`
	Missing int           `json:"missing"` // pairs of edit and node, not in force at the end of the steady part
}

// Result is what one size gave.
type Result struct {
	Size      Size          `json:"size"`
	Jobs      int           `json:"jobs"`
	Items     int           `json:"items_of_job"`
	Roles     []RoleResult  `json:"roles"`
	PeakBytes int64         `json:"peak_bytes"` // most that a node sent within a second of the steady part
	InForce   InForce       `json:"in_force"`
	Missing   int           `json:"missing"` // live nodes that a node of their zone did not see, after the steady part
	Faults    []Fault       `json:"faults"`
	HeapBytes int64         `json:"heap_bytes"` // a node, machines only
	Wall      time.Duration `json:"wall"`
	Processor time.Duration `json:"processor"` // of this whole process, with garbage collection
}

// Run runs one size.
func Run(ctx context.Context, options Options, wire Wire) (Result, error) {
	started, processor, heap := time.Now(), processTime(), liveHeap()
	f := newFleet(options, wire)
	result := Result{Size: options.Size, Jobs: options.Jobs, Items: options.ItemsOfJob}
	if _, err := f.advance(ctx, "warm up", options.WarmUp, nil); err != nil {
		return result, err
	}
	if err := f.steady(ctx, &result); err != nil {
		return result, err
	}
	result.HeapBytes = (liveHeap() - heap) / int64(len(f.nodes))
	if options.FaultWindow > 0 {
		if err := f.faults(ctx, &result); err != nil {
			return result, err
		}
	}
	result.Wall = time.Since(started).Round(time.Millisecond)
	result.Processor = (processTime() - processor).Round(time.Millisecond)
	return result, nil
}

// advance moves the virtual clock second by second and gives the most bytes
// that a node sent in one of them.
func (f *fleet) advance(ctx context.Context, what string, duration time.Duration, each func()) (int64, error) {
	const step = time.Second
	peak := int64(0)
	sent := make([]int64, len(f.nodes))
	for i, node := range f.nodes {
		sent[i] = node.cost.BytesSent
	}
	for passed := time.Duration(0); passed < duration; passed += step {
		if err := ctx.Err(); err != nil {
			return peak, fmt.Errorf("scale run of %d nodes: %w", len(f.nodes), err)
		}
		f.simulation.Run(step)
		for i, node := range f.nodes {
			peak = max(peak, node.cost.BytesSent-sent[i])
			sent[i] = node.cost.BytesSent
		}
		if each != nil {
			each()
		}
		f.options.Progress(fmt.Sprintf("%d nodes: %s %v of %v", len(f.nodes), what, passed+step, duration))
	}
	return peak, nil
}

// steady measures the fleet while nothing fails.
func (f *fleet) steady(ctx context.Context, result *Result) error {
	before := make([]*Cost, len(f.nodes))
	for i, node := range f.nodes {
		before[i] = node.cost.clone()
	}
	settle := min(f.options.Duration/4, 15*time.Second)
	edits := 0
	for at := time.Second; at < f.options.Duration-settle; at += f.options.EditInterval {
		f.simulation.After(at, func() { f.editRow(edits % f.options.Size.Rows()); edits++ })
	}
	peak, err := f.advance(ctx, "steady", f.options.Duration, nil)
	if err != nil {
		return err
	}
	result.PeakBytes = peak
	result.Roles = f.roleResults(before)
	median, worst := medianAndWorst(f.delayed)
	result.InForce = InForce{Edits: edits, Median: median, Worst: worst, Missing: edits*len(f.nodes) - len(f.delayed)}
	result.Missing = f.missingViews()
	return nil
}

// missingViews counts the pairs of nodes of one zone where one does not see
// the other.
func (f *fleet) missingViews() int {
	missing := 0
	for _, node := range f.live() {
		seen := map[api.NodeID]bool{}
		for _, other := range node.view {
			seen[other.ID] = true
		}
		for _, other := range f.live() {
			if other.self.Location == node.self.Location && other.self.Role != api.RoleSidecar && !seen[other.self.ID] {
				missing++
			}
		}
	}
	return missing
}

const (
	rackShare = 5 // a rack holds every fifth node of a zone
	// zoneWindowFactor: a lost zone is told from a slow one by silence alone.
	zoneWindowFactor = 3
)

// faults crashes one node, a rack of another zone, and a whole zone.
func (f *fleet) faults(ctx context.Context, result *Result) error {
	zones := f.options.Size.Zones
	inZone := func(zone int) []*hollow {
		var nodes []*hollow
		for _, node := range f.live() {
			if node.self.Location == f.options.Size.Location(zone%zones) {
				nodes = append(nodes, node)
			}
		}
		return nodes
	}
	first := inZone(1)
	if err := f.fault(ctx, result, "one router", first[:1], false); err != nil {
		return err
	}
	var rack []*hollow
	for i, node := range inZone(2) {
		if i%rackShare == 0 {
			rack = append(rack, node)
		}
	}
	if err := f.fault(ctx, result, "rack", rack, false); err != nil {
		return err
	}
	if zones < 2 {
		return nil
	}
	return f.fault(ctx, result, "zone", inZone(3), true)
}

func (f *fleet) fault(ctx context.Context, result *Result, name string, nodes []*hollow, wholeZone bool) error {
	dead := map[api.Location]bool{}
	if wholeZone {
		dead[nodes[0].self.Location] = true
	}
	window := f.options.FaultWindow
	if wholeZone {
		window *= zoneWindowFactor
	}
	f.crash(nodes)
	var gap HomeGap
	watch := func() {
		none, several := f.homeCounts(dead)
		gap.WithoutHome, gap.AtTwoHomes = max(gap.WithoutHome, none), max(gap.AtTwoHomes, several)
		if none+several > 0 {
			gap.UnsettledLast = f.simulation.Now().Sub(f.watch.began)
		}
	}
	peak, err := f.advance(ctx, "after the crash of "+name, window, watch)
	if err != nil {
		return err
	}
	result.Faults = append(result.Faults, Fault{
		Name: name, Crashed: len(nodes), Detection: f.watch.detection(), Homes: gap, PeakBytes: peak,
	})
	return nil
}

// processTime is what this process has used, user and system.
func processTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func liveHeap() int64 {
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	return int64(memory.HeapAlloc)
}
