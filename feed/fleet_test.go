package feed

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
)

// This file simulates a fleet of 300 choosers, the service and the network between them on
// a virtual clock. The model answers queries as internal/relay does.

const (
	zoneCount          = 6
	nodesPerZone       = 50
	serviceDelay       = 5 * time.Millisecond
	peerDelay          = 2 * time.Millisecond
	rejectionDelay     = 5 * time.Millisecond
	silentTimeout      = 2500 * time.Millisecond // of a call that the service does not answer
	watchTimeoutMargin = 500 * time.Millisecond  // beyond its wait, until a silent watch times out
	peerTimeoutMargin  = 300 * time.Millisecond  // as in internal/relay
	simulatedTime      = 40 * time.Second
)

// fault affects some nodes between from and to, measured from the start.
type fault struct {
	from    time.Duration
	to      time.Duration
	affects func(zone, rank int) bool // nil: all nodes
	// The effects.
	frozen      bool // the process neither sends nor answers
	rejected    bool // the service rejects calls of the node
	silent      bool // the service does not answer the node
	watchSilent bool // the service answers all calls but watches
	down        bool // the service rejects all calls
}

type fleetNode struct {
	zone, rank  int
	id          api.NodeID
	chooser     *Chooser
	revision    int64
	latencies   []time.Duration // of each change
	lastContact time.Time
	queries     int // sequence number of the pending query
}

type event struct {
	at       time.Time
	sequence int
	run      func(now time.Time)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type fleet struct {
	nodes     []*fleetNode
	byID      map[api.NodeID]*fleetNode
	changes   []time.Time // at the service; the revision is their number
	faults    []fault
	queue     events
	sequence  int
	calls     int // to the service
	fullReads int // of the state, after a silent watch
}

func newFleet(changes []time.Duration, troubles []fault) *fleet {
	f := &fleet{byID: map[api.NodeID]*fleetNode{}, faults: troubles}
	for z := range zoneCount {
		var members []Member
		for n := range nodesPerZone {
			id := api.NodeID(fmt.Sprintf("zone-%d-%02d", z, n))
			members = append(members, Member{ID: id, Address: string(id), Preferred: n < 5})
		}
		for _, member := range members {
			c := New(NewSettings(member.ID, apply, longWait))
			c.SetMembers(members)
			node := &fleetNode{zone: z, rank: c.rank, id: member.ID, chooser: c}
			f.nodes = append(f.nodes, node)
			f.byID[member.ID] = node
		}
	}
	random := rand.New(rand.NewPCG(1, 2))
	for _, node := range f.nodes {
		f.schedule(start.Add(time.Duration(random.IntN(300))*time.Millisecond), func(now time.Time) { f.query(now, node) })
	}
	for _, after := range changes {
		f.changes = append(f.changes, start.Add(after))
	}
	return f
}

func (f *fleet) schedule(when time.Time, run func(time.Time)) {
	f.sequence++
	heap.Push(&f.queue, event{at: when, sequence: f.sequence, run: run})
}

func (f *fleet) run() {
	for f.queue.Len() > 0 {
		next := heap.Pop(&f.queue).(event)
		if next.at.After(start.Add(simulatedTime)) {
			return
		}
		next.run(next.at)
	}
}

// faultsOf merges the effects of all faults that affect a node now.
func (f *fleet) faultsOf(now time.Time, node *fleetNode) (all fault) {
	since := now.Sub(start)
	for _, t := range f.faults {
		if since < t.from || since >= t.to || t.affects != nil && !t.affects(node.zone, node.rank) {
			continue
		}
		all.frozen = all.frozen || t.frozen
		all.rejected = all.rejected || t.rejected
		all.silent = all.silent || t.silent
		all.watchSilent = all.watchSilent || t.watchSilent
		all.down = all.down || t.down
	}
	return all
}

// unaffected reports whether no fault affected a node between from and to. A service that
// is down affects all nodes.
func (f *fleet) unaffected(node *fleetNode, from, to time.Time) bool {
	for _, t := range f.faults {
		hit := t.down || t.affects == nil || t.affects(node.zone, node.rank)
		if hit && start.Add(t.from).Before(to) && start.Add(t.to).After(from) {
			return false
		}
	}
	return true
}

func (f *fleet) revision(now time.Time) int64 {
	count := int64(0)
	for _, at := range f.changes {
		if !at.After(now) {
			count++
		}
	}
	return count
}

// nextChange returns the time of the first change after a revision; false without one.
func (f *fleet) nextChange(revision int64) (time.Time, bool) {
	if int(revision) < len(f.changes) {
		return f.changes[revision], true
	}
	return time.Time{}, false
}

func (f *fleet) query(now time.Time, node *fleetNode) {
	if f.faultsOf(now, node).frozen {
		f.schedule(now.Add(100*time.Millisecond), func(now time.Time) { f.query(now, node) })
		return
	}
	query := node.chooser.Next(now)
	if query.NotBefore.After(now) {
		f.schedule(query.NotBefore, func(now time.Time) { f.query(now, node) })
		return
	}
	node.queries++
	if query.ToService() {
		f.queryService(now, node, query)
		return
	}
	f.queryPeer(now, node, query)
}

func (f *fleet) queryService(now time.Time, node *fleetNode, query Query) {
	f.calls++
	number := node.queries
	switch hit := f.faultsOf(now, node); {
	case hit.rejected || hit.down:
		f.schedule(now.Add(rejectionDelay), func(now time.Time) { f.finish(now, node, number, query, Unreachable, 0) })
		return
	case hit.silent:
		f.schedule(now.Add(silentTimeout), func(now time.Time) { f.finish(now, node, number, query, Unreachable, 0) })
		return
	case hit.watchSilent && !node.chooser.IsWatcher():
		f.schedule(now.Add(query.Wait+watchTimeoutMargin), func(now time.Time) { f.finish(now, node, number, query, Unreachable, 0) })
		return
	case hit.watchSilent: // a second call reads the revision, and a full read what was missed
		f.schedule(now.Add(query.Wait+query.Wait/6+serviceDelay), func(now time.Time) {
			f.calls++
			if f.revision(now) > node.revision {
				f.fullReads++
			}
			node.lastContact = now
			f.finish(now, node, number, query, Answered, f.revision(now))
		})
		return
	}
	answers := now.Add(query.Wait)
	if changed, ok := f.nextChange(node.revision); ok && changed.Before(answers) {
		answers = changed
	}
	if answers.Before(now) {
		answers = now
	}
	f.schedule(answers.Add(serviceDelay), func(now time.Time) {
		if hit := f.faultsOf(now, node); hit.silent || hit.down {
			f.schedule(now.Add(silentTimeout), func(now time.Time) { f.finish(now, node, number, query, Unreachable, 0) })
			return
		}
		node.lastContact = now
		f.finish(now, node, number, query, Answered, f.revision(now))
	})
}

// queryPeer answers as soon as the peer knows a newer revision or has received an answer
// from the service since the query arrived.
func (f *fleet) queryPeer(now time.Time, node *fleetNode, query Query) {
	number := node.queries
	arrived, deadline := now.Add(peerDelay), now.Add(peerDelay+query.Wait)
	timeout := now.Add(query.Wait + peerTimeoutMargin)
	peer := f.byID[query.Peer.ID]
	var poll func(now time.Time)
	poll = func(now time.Time) {
		fresh := now.Sub(peer.lastContact) <= node.chooser.settings.MaxStaleness
		switch {
		case f.faultsOf(now, peer).frozen || f.faultsOf(now, node).frozen:
			f.schedule(timeout, func(now time.Time) { f.finish(now, node, number, query, Unreachable, 0) })
		case fresh && (peer.revision > node.revision || peer.lastContact.After(arrived) || !now.Before(deadline)):
			revision := max(peer.revision, node.revision)
			f.schedule(now.Add(peerDelay), func(now time.Time) { f.finish(now, node, number, query, Answered, revision) })
		case !now.Before(deadline):
			f.schedule(now.Add(peerDelay), func(now time.Time) { f.finish(now, node, number, query, Stale, 0) })
		default:
			f.schedule(now.Add(10*time.Millisecond), poll)
		}
	}
	f.schedule(arrived, poll)
}

func (f *fleet) finish(now time.Time, node *fleetNode, number int, query Query, outcome Outcome, revision int64) {
	if node.queries != number {
		return
	}
	node.chooser.RecordOutcome(now, query, outcome)
	changed := outcome == Answered && revision > node.revision
	for outcome == Answered && node.revision < revision {
		node.latencies = append(node.latencies, now.Sub(f.changes[node.revision]))
		node.revision++
	}
	next := now
	if changed && query.ToService() {
		next = now.Add(node.chooser.settings.BatchDelay())
	}
	f.schedule(next, func(now time.Time) { f.query(now, node) })
}

// missed counts the changes that an unaffected node did not learn in time.
func (f *fleet) missed() (count, checked int) {
	for _, node := range f.nodes {
		for i, made := range f.changes {
			if !f.unaffected(node, made, made.Add(apply)) {
				continue
			}
			checked++
			if i >= len(node.latencies) || node.latencies[i] > apply {
				count++
			}
		}
	}
	return count, checked
}

func changesEverySecond(from, to int) (list []time.Duration) {
	for s := from; s < to; s++ {
		list = append(list, time.Duration(s)*time.Second+time.Duration(s%10)*97*time.Millisecond)
	}
	return list
}

func TestUnaffectedProcessesLearnChangesInTime(t *testing.T) {
	watchers := func(_, rank int) bool { return rank < watchersPerZone }
	first := func(_, rank int) bool { return rank == 0 }
	third := func(zone, rank int) bool { return (zone+rank)%3 == 0 }
	const from, to = 10 * time.Second, 19 * time.Second
	tests := []struct {
		name     string
		changes  []time.Duration
		troubles []fault
		maxCalls int // to the service; without watchers at least 3,200
	}{
		{"no changes", nil, nil, 900},
		{"one change per second", changesEverySecond(1, 35), nil, 900},
		{"one watcher of each zone frozen", changesEverySecond(1, 35), []fault{{from: from, to: to, affects: first, frozen: true}}, 900},
		{"both watchers of each zone frozen", changesEverySecond(1, 35), []fault{{from: from, to: to, affects: watchers, frozen: true}}, 3500},
		{"a third of the nodes rejected", changesEverySecond(1, 35), []fault{{from: from, to: to, affects: third, rejected: true}}, 900},
		{"all watchers rejected", changesEverySecond(1, 35), []fault{{from: from, to: to, affects: watchers, rejected: true}}, 3500},
		{"a third of the nodes unanswered", changesEverySecond(1, 35), []fault{{from: from, to: to, affects: third, silent: true}}, 900},
		{"all watchers unanswered", changesEverySecond(1, 35), []fault{{from: from, to: to, affects: watchers, silent: true}}, 4200},
		{"silent watches", changesEverySecond(1, 35), []fault{{from: from, to: to, affects: func(int, int) bool { return true }, watchSilent: true}}, 1100},
		{"service down", changesEverySecond(1, 35), []fault{{from: from, to: to, down: true}}, 2300},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(test.changes, test.troubles)
			f.run()
			missed, checked := f.missed()
			if missed > 0 || checked == 0 && len(test.changes) > 0 {
				t.Errorf("%d of %d changes not learned in time", missed, checked)
			}
			if f.calls > test.maxCalls {
				t.Errorf("%d calls to the service, want at most %d", f.calls, test.maxCalls)
			}
			if maxReads := watchersPerZone * zoneCount * int((to-from)/time.Second) * 2; f.fullReads > maxReads {
				t.Errorf("%d full reads, want at most %d", f.fullReads, maxReads)
			}
			t.Logf("%d calls, %d full reads", f.calls, f.fullReads)
		})
	}
}

// TestUnboundedPeerWaitMissesChanges checks that the simulation detects missed changes: it
// raises the wait at peers far beyond the time that a change may take.
func TestUnboundedPeerWaitMissesChanges(t *testing.T) {
	f := newFleet(changesEverySecond(1, 35), []fault{{from: 10 * time.Second, to: 19 * time.Second, affects: func(_, rank int) bool { return rank < watchersPerZone }, frozen: true}})
	for _, node := range f.nodes {
		node.chooser.settings.MaxStaleness = time.Minute
	}
	f.run()
	if missed, _ := f.missed(); missed == 0 {
		t.Error("no change missed with a wait of one minute at frozen watchers")
	}
}
