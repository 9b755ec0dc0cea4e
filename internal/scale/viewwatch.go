package scale

import (
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// viewWatch notes when each node's view stops holding nodes that crashed.
type viewWatch struct {
	crashed map[api.NodeID]bool
	began   time.Time
	seeing  map[api.NodeID]bool // observers whose view holds a crashed node
	cleared map[api.NodeID]time.Duration
}

// crash ends the processes and begins to watch the others' views.
func (f *fleet) crash(nodes []*hollow) {
	f.watch = &viewWatch{
		crashed: map[api.NodeID]bool{}, began: f.simulation.Now(),
		seeing: map[api.NodeID]bool{}, cleared: map[api.NodeID]time.Duration{},
	}
	for _, node := range nodes {
		node.process.Crash()
		f.watch.crashed[node.self.ID] = true
	}
	for _, node := range f.live() {
		f.observeView(node)
	}
}

func (f *fleet) observeView(node *hollow) {
	if f.watch == nil {
		return
	}
	id := node.self.ID
	sees := slices.ContainsFunc(node.view, func(seen api.Node) bool {
		return f.watch.crashed[seen.ID] && (seen.Location == node.self.Location || len(seen.Summary.Services) > 0)
	})
	if f.watch.seeing[id] && !sees {
		f.watch.cleared[id] = f.simulation.Now().Sub(f.watch.began)
	}
	f.watch.seeing[id] = sees
}

// Detection is how long the survivors of a crash still held a crashed node in
// their view: one of their zone as live, one of another zone with services that
// it offers.
type Detection struct {
	Observers   int           `json:"observers"` // survivors that held one
	Median      time.Duration `json:"median"`
	Worst       time.Duration `json:"worst"`
	StillSeeing int           `json:"still_seeing"` // at the end of the window
}

func (w *viewWatch) detection() Detection {
	var times []time.Duration
	still := 0
	for id, cleared := range w.cleared {
		if !w.seeing[id] {
			times = append(times, cleared)
		}
	}
	for _, sees := range w.seeing {
		if sees {
			still++
		}
	}
	median, worst := medianAndWorst(times)
	return Detection{Observers: len(times) + still, Median: median, Worst: worst, StillSeeing: still}
}

func medianAndWorst(times []time.Duration) (median, worst time.Duration) {
	if len(times) == 0 {
		return 0, 0
	}
	slices.Sort(times)
	return times[len(times)/2], times[len(times)-1]
}

// HomeGap counts workers outside the crashed zone that were not at exactly one
// live home, over the seconds after a crash.
type HomeGap struct {
	WithoutHome   int           `json:"without_home"`   // most at one moment
	AtTwoHomes    int           `json:"at_two_homes"`   // most at one moment
	UnsettledLast time.Duration `json:"unsettled_last"` // last moment with either
}

// homeCounts counts the workers of live zones by their number of live homes.
func (f *fleet) homeCounts(dead map[api.Location]bool) (none, several int) {
	counts := map[api.WorkerID]int{}
	for _, node := range f.live() {
		for _, worker := range node.homed {
			counts[worker.ID]++
		}
	}
	for _, worker := range f.workers {
		switch {
		case dead[worker.Location]:
		case counts[worker.ID] == 0:
			none++
		case counts[worker.ID] > 1:
			several++
		}
	}
	return none, several
}
