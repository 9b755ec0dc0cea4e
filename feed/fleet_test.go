package feed

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
)

// A fleet of 300 choosers on a virtual clock, before a model of the service and of
// the way between processes. The model answers as internal/relay does.

const (
	zones         = 6
	nodesOfAZone  = 50
	serviceTrip   = 5 * time.Millisecond
	peerTrip      = 2 * time.Millisecond
	refusalTrip   = 5 * time.Millisecond
	silentTimeout = 2500 * time.Millisecond // until the network gives up a silent service
	silentGrace   = 500 * time.Millisecond  // until a silent watch is given up
	peerGrace     = 300 * time.Millisecond  // as in internal/relay
	length        = 40 * time.Second
)

// trouble strikes nodes for a time.
type trouble struct {
	// from and to are since the start.
	from time.Duration
	to   time.Duration
	// Who: by zone and rank in it.
	hits func(zone, rank int) bool
	// What of these it does.
	frozen     bool // the process says nothing
	turnedAway bool // the service refuses it
	silent     bool // the service does not answer it
	mute       bool // the service answers no watch, and all else
	down       bool // the service does not answer anybody
}

type fleetNode struct {
	zone, rank int
	id         api.NodeID
	chooser    *Chooser
	revision   int64
	learned    []time.Duration // of each change, since it was made
	contact    time.Time
	asks       int // number of the question under way
}

type event struct {
	at   time.Time
	turn int
	run  func(now time.Time)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].turn < e[j].turn
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type fleet struct {
	nodes    []*fleetNode
	byID     map[api.NodeID]*fleetNode
	changes  []time.Time // of the service; its revision is how many there are
	troubles []trouble
	queue    events
	turn     int
	calls    int // of the service
	wholes   int // states that were read since watches are silent
}

func newFleet(changes []time.Duration, troubles []trouble) *fleet {
	f := &fleet{byID: map[api.NodeID]*fleetNode{}, troubles: troubles}
	for z := range zones {
		var members []Member
		for n := range nodesOfAZone {
			id := api.NodeID(fmt.Sprintf("zone-%d-%02d", z, n))
			members = append(members, Member{ID: id, Address: string(id), Strong: n < 5})
		}
		for _, member := range members {
			c := New(Within(member.ID, apply, longWait))
			c.Members(members)
			node := &fleetNode{zone: z, rank: c.rank, id: member.ID, chooser: c}
			f.nodes = append(f.nodes, node)
			f.byID[member.ID] = node
		}
	}
	random := rand.New(rand.NewPCG(1, 2))
	for _, node := range f.nodes {
		f.at(start.Add(time.Duration(random.IntN(300))*time.Millisecond), func(now time.Time) { f.ask(now, node) })
	}
	for _, after := range changes {
		f.changes = append(f.changes, start.Add(after))
	}
	return f
}

func (f *fleet) at(when time.Time, run func(time.Time)) {
	f.turn++
	heap.Push(&f.queue, event{at: when, turn: f.turn, run: run})
}

func (f *fleet) run() {
	for f.queue.Len() > 0 {
		next := heap.Pop(&f.queue).(event)
		if next.at.After(start.Add(length)) {
			return
		}
		next.run(next.at)
	}
}

// strikes tells what troubles a node has now.
func (f *fleet) strikes(now time.Time, node *fleetNode) (all trouble) {
	since := now.Sub(start)
	for _, t := range f.troubles {
		if since < t.from || since >= t.to || t.hits != nil && !t.hits(node.zone, node.rank) {
			continue
		}
		all.frozen = all.frozen || t.frozen
		all.turnedAway = all.turnedAway || t.turnedAway
		all.silent = all.silent || t.silent
		all.mute = all.mute || t.mute
		all.down = all.down || t.down
	}
	return all
}

// calm tells whether a node had no trouble of its own through a time; trouble of
// the whole service is everybody's.
func (f *fleet) calm(node *fleetNode, from, to time.Time) bool {
	for _, t := range f.troubles {
		hit := t.down || t.hits == nil || t.hits(node.zone, node.rank)
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

// changeAfter is when the service has something beyond a revision; never if false.
func (f *fleet) changeAfter(revision int64) (time.Time, bool) {
	if int(revision) < len(f.changes) {
		return f.changes[revision], true
	}
	return time.Time{}, false
}

func (f *fleet) ask(now time.Time, node *fleetNode) {
	if f.strikes(now, node).frozen {
		f.at(now.Add(100*time.Millisecond), func(now time.Time) { f.ask(now, node) })
		return
	}
	question := node.chooser.Next(now)
	if question.NotBefore.After(now) {
		f.at(question.NotBefore, func(now time.Time) { f.ask(now, node) })
		return
	}
	node.asks++
	if question.OfService() {
		f.askService(now, node, question)
		return
	}
	f.askPeer(now, node, question)
}

func (f *fleet) askService(now time.Time, node *fleetNode, question Question) {
	f.calls++
	number := node.asks
	switch hit := f.strikes(now, node); {
	case hit.turnedAway || hit.down:
		f.at(now.Add(refusalTrip), func(now time.Time) { f.ended(now, node, number, question, Unreachable, 0) })
		return
	case hit.silent:
		f.at(now.Add(silentTimeout), func(now time.Time) { f.ended(now, node, number, question, Unreachable, 0) })
		return
	case hit.mute && !node.chooser.Watching():
		f.at(now.Add(question.Wait+silentGrace), func(now time.Time) { f.ended(now, node, number, question, Unreachable, 0) })
		return
	case hit.mute: // one call more tells the revision, and the whole state what was missed
		f.at(now.Add(question.Wait+question.Wait/6+serviceTrip), func(now time.Time) {
			f.calls++
			if f.revision(now) > node.revision {
				f.wholes++
			}
			node.contact = now
			f.ended(now, node, number, question, Answered, f.revision(now))
		})
		return
	}
	answers := now.Add(question.Wait)
	if changed, ok := f.changeAfter(node.revision); ok && changed.Before(answers) {
		answers = changed
	}
	if answers.Before(now) {
		answers = now
	}
	f.at(answers.Add(serviceTrip), func(now time.Time) {
		if hit := f.strikes(now, node); hit.silent || hit.down {
			f.at(now.Add(silentTimeout), func(now time.Time) { f.ended(now, node, number, question, Unreachable, 0) })
			return
		}
		node.contact = now
		f.ended(now, node, number, question, Answered, f.revision(now))
	})
}

// askPeer answers as soon as the peer knows more or has been answered by the service
// since the question came.
func (f *fleet) askPeer(now time.Time, node *fleetNode, question Question) {
	number := node.asks
	came, deadline := now.Add(peerTrip), now.Add(peerTrip+question.Wait)
	lost := now.Add(question.Wait + peerGrace)
	peer := f.byID[question.Peer.ID]
	var look func(now time.Time)
	look = func(now time.Time) {
		fresh := now.Sub(peer.contact) <= node.chooser.settings.Fresh
		switch {
		case f.strikes(now, peer).frozen || f.strikes(now, node).frozen:
			f.at(lost, func(now time.Time) { f.ended(now, node, number, question, Unreachable, 0) })
		case fresh && (peer.revision > node.revision || peer.contact.After(came) || !now.Before(deadline)):
			revision := max(peer.revision, node.revision)
			f.at(now.Add(peerTrip), func(now time.Time) { f.ended(now, node, number, question, Answered, revision) })
		case !now.Before(deadline):
			f.at(now.Add(peerTrip), func(now time.Time) { f.ended(now, node, number, question, Behind, 0) })
		default:
			f.at(now.Add(10*time.Millisecond), look)
		}
	}
	f.at(came, look)
}

func (f *fleet) ended(now time.Time, node *fleetNode, number int, question Question, outcome Outcome, revision int64) {
	if node.asks != number {
		return
	}
	node.chooser.Ended(now, question, outcome)
	changed := outcome == Answered && revision > node.revision
	for outcome == Answered && node.revision < revision {
		node.learned = append(node.learned, now.Sub(f.changes[node.revision]))
		node.revision++
	}
	next := now
	if changed && question.OfService() {
		next = now.Add(node.chooser.settings.GatherPause())
	}
	f.at(next, func(now time.Time) { f.ask(now, node) })
}

// missed counts changes that a calm node did not learn in time.
func (f *fleet) missed() (count, checked int) {
	for _, node := range f.nodes {
		for i, made := range f.changes {
			if !f.calm(node, made, made.Add(apply)) {
				continue
			}
			checked++
			if i >= len(node.learned) || node.learned[i] > apply {
				count++
			}
		}
	}
	return count, checked
}

func everySecond(from, to int) (list []time.Duration) {
	for s := from; s < to; s++ {
		list = append(list, time.Duration(s)*time.Second+time.Duration(s%10)*97*time.Millisecond)
	}
	return list
}

func TestEveryCalmProcessLearnsChangesInTime(t *testing.T) {
	watchers := func(_, rank int) bool { return rank < watchersOfAZone }
	first := func(_, rank int) bool { return rank == 0 }
	third := func(zone, rank int) bool { return (zone+rank)%3 == 0 }
	const from, to = 10 * time.Second, 19 * time.Second
	tests := []struct {
		name     string
		changes  []time.Duration
		troubles []trouble
		most     int // calls of the service; without watchers it is 3,200 at least
	}{
		{"nothing happens", nil, nil, 900},
		{"one change a second", everySecond(1, 35), nil, 900},
		{"a watcher of each zone freezes", everySecond(1, 35), []trouble{{from: from, to: to, hits: first, frozen: true}}, 900},
		{"both watchers of each zone freeze", everySecond(1, 35), []trouble{{from: from, to: to, hits: watchers, frozen: true}}, 3500},
		{"a third is turned away", everySecond(1, 35), []trouble{{from: from, to: to, hits: third, turnedAway: true}}, 900},
		{"all watchers are turned away", everySecond(1, 35), []trouble{{from: from, to: to, hits: watchers, turnedAway: true}}, 3500},
		{"a third hears nothing", everySecond(1, 35), []trouble{{from: from, to: to, hits: third, silent: true}}, 900},
		{"the watchers hear nothing", everySecond(1, 35), []trouble{{from: from, to: to, hits: watchers, silent: true}}, 4200},
		{"watches are silent", everySecond(1, 35), []trouble{{from: from, to: to, hits: func(int, int) bool { return true }, mute: true}}, 1100},
		{"the service is away", everySecond(1, 35), []trouble{{from: from, to: to, down: true}}, 2300},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(test.changes, test.troubles)
			f.run()
			missed, checked := f.missed()
			if missed > 0 || checked == 0 && len(test.changes) > 0 {
				t.Errorf("%d of %d changes were not known in time", missed, checked)
			}
			if f.calls > test.most {
				t.Errorf("%d calls of the service, at most %d", f.calls, test.most)
			}
			if most := watchersOfAZone * zones * int((to-from)/time.Second) * 2; f.wholes > most {
				t.Errorf("the whole state was read %d times, at most %d", f.wholes, most)
			}
			t.Logf("%d calls, %d whole states", f.calls, f.wholes)
		})
	}
}

// TestACheckOfMissedChangesCanFail plants a fault: peers that are asked without end.
func TestACheckOfMissedChangesCanFail(t *testing.T) {
	f := newFleet(everySecond(1, 35), []trouble{{from: 10 * time.Second, to: 19 * time.Second, hits: func(_, rank int) bool { return rank < watchersOfAZone }, frozen: true}})
	for _, node := range f.nodes {
		node.chooser.settings.Fresh = time.Minute
	}
	f.run()
	if missed, _ := f.missed(); missed == 0 {
		t.Error("no change was missed though watchers are waited for without end")
	}
}
