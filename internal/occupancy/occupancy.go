// Package occupancy is what frontends and the leaders that run batch tell each
// other of the requests that they hold at each worker. A worker's own word comes
// late and leaves out what is on its way; the sum of what its callers hold does not.
package occupancy

import (
	"maps"
	"sync"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/worker"
)

// Path takes a Report and answers an Answer; only leaders serve it.
const Path = "/internal/v1/occupancy"

// Report is what a frontend holds.
type Report struct {
	Node api.NodeID     `json:"node"`
	Held map[string]int `json:"held"` // requests, by worker
	// Waiting is how many requests found no slot and wait at the frontend, by
	// service.
	Waiting map[string]int `json:"waiting,omitempty"`
}

// Answer is what all others hold at the workers that the asked leader fills.
type Answer struct {
	Others map[string]worker.Others `json:"others"` // by worker; those with nothing included
}

// Life is how long a report is believed: a frontend that is lost takes its
// requests with it.
const Life = 1500 * time.Millisecond

// Table is the newest report of each frontend. The zero value is ready; it may be
// used from anywhere.
type Table struct {
	mutex sync.Mutex // guards all below
	nodes map[api.NodeID]entry
	sum   map[string]int // held, by worker
	waits map[string]int // by service
}

type entry struct {
	at      time.Time
	held    map[string]int
	waiting map[string]int
}

// Put replaces a frontend's report.
func (t *Table) Put(now time.Time, report Report) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.nodes == nil {
		t.nodes, t.sum, t.waits = map[api.NodeID]entry{}, map[string]int{}, map[string]int{}
	}
	t.remove(report.Node)
	add(t.sum, report.Held, 1)
	add(t.waits, report.Waiting, 1)
	t.nodes[report.Node] = entry{at: now, held: report.Held, waiting: report.Waiting}
}

func (t *Table) remove(node api.NodeID) {
	known := t.nodes[node]
	add(t.sum, known.held, -1)
	add(t.waits, known.waiting, -1)
	delete(t.nodes, node)
}

func add(sum, part map[string]int, sign int) {
	for name, n := range part {
		sum[name] += sign * n
		if sum[name] == 0 {
			delete(sum, name)
		}
	}
}

func (t *Table) expire(now time.Time) {
	for node, known := range t.nodes {
		if now.Sub(known.at) > Life {
			t.remove(node)
		}
	}
}

// Sum is what all frontends hold, by worker.
func (t *Table) Sum(now time.Time) map[string]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire(now)
	return maps.Clone(t.sum)
}

// Waiting is how many requests of a service wait at frontends.
func (t *Table) Waiting(now time.Time, service string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire(now)
	return t.waits[service]
}

// Complete tells whether each frontend among the nodes has reported lately. False
// without any.
func (t *Table) Complete(now time.Time, nodes []api.Node) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire(now)
	for _, node := range nodes {
		if _, ok := t.nodes[node.ID]; !ok && node.Role == api.RoleFrontend && !node.Suspected {
			return false
		}
	}
	return len(t.nodes) > 0
}
