package jobs

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// Runner is the router's side of batch work: it claims items for idle room,
// starts and runs them, and reports what became of them until a leader has
// taken the report.
type Runner struct {
	settings RunnerSettings
	groups   map[api.GroupID]*runnerGroup
	rooms    map[api.RowKey]int
	rows     map[api.RowKey]*runnerRow
	runs     map[api.RequestID]*run
	kept     int // bytes of results that no leader has taken
	stopping bool
}

// runnerGroup is what the Runner has to do with one group.
type runnerGroup struct {
	id        api.GroupID
	leader    api.NodeID // empty: none is known
	term      uint64
	waiting   map[api.ServiceName]bool
	serial    uint64 // of the last claim or settle
	claim     uint64 // serial of the claim that is out; 0: none
	claimed   map[api.RowKey]bool
	claimFrom time.Time // no claim before
	outbox    []report
	settle    uint64 // serial of the settle that is out; 0: none
	single    bool   // reports go one by one: a leader refused some together
	sent      int    // reports in it
	settleAt  time.Time
	renewing  bool
	renewAt   time.Time
}

// report is one line of a Settle.
type report struct {
	result   *ItemResult
	returned ReturnedItem
	size     int
}

// runnerRow is the work of one row at this router.
type runnerRow struct {
	held      []*run // granted, waiting for room, oldest first
	launching int    // sent to be run, not yet counted in Rooms
	running   int
	duration  time.Duration // smoothed time of a run
}

// run is one granted item.
type run struct {
	group   api.GroupID
	item    GrantedItem
	request api.RequestID
	key     api.RowKey
	state   runState
	since   time.Time // of the state
	heldAt  time.Time // when it was first held
	started bool      // non-repeatable: its start is committed
	stopped bool      // cancelled or lost
	askAt   time.Time // when to ask for the start again; zero: it is asked
}

type runState int

const (
	runHeld runState = iota
	runStarting
	runLaunching
	runRunning
)

// NewRunner starts with no group and no room.
func NewRunner(settings RunnerSettings) *Runner {
	return &Runner{
		settings: settings, groups: map[api.GroupID]*runnerGroup{},
		rooms: map[api.RowKey]int{}, rows: map[api.RowKey]*runnerRow{}, runs: map[api.RequestID]*run{},
	}
}

// Step takes one message.
func (r *Runner) Step(now time.Time, message RunnerMessage) []RunnerAction {
	var actions []RunnerAction
	switch message := message.(type) {
	case Leaders:
		r.setLeaders(now, message.Groups)
	case Rooms:
		r.setRooms(message.Rooms)
	case GrantArrived:
		actions = r.granted(now, message)
	case StartAnswered:
		actions = r.startAnswered(now, message)
	case ItemAdmitted:
		r.admitted(message.Request)
	case ItemFinished:
		r.finished(now, message)
	case SettleAnswered:
		actions = r.settled(now, message)
	case RenewAnswered:
		actions = r.renewed(now, message)
	case RunnerTick:
		actions = r.startsAgain(now)
	case Stopping:
		r.stopping = true
	}
	r.returnHeld(now) // first: a router that was paused must not run what it holds
	actions = append(actions, r.launch(now)...)
	return append(actions, r.sends(now)...)
}

// Idle tells whether nothing is held, running or unreported, so that a planned
// stop may end.
func (r *Runner) Idle() bool {
	for _, group := range r.groups {
		if len(group.outbox) > 0 {
			return false
		}
	}
	return len(r.runs) == 0
}

// Running tells whether a worker may be at work on an item.
func (r *Runner) Running() bool {
	for _, held := range r.runs {
		if held.state == runLaunching || held.state == runRunning {
			return true
		}
	}
	return false
}

func (r *Runner) setLeaders(now time.Time, leaders []GroupLeader) {
	for _, leader := range leaders {
		group := r.group(leader.Group)
		if leader.Term < group.term {
			continue
		}
		if group.leader != leader.Leader || group.term != leader.Term {
			group.leader, group.term = leader.Leader, leader.Term
			group.claim, group.settle = 0, 0
			group.claimFrom, group.settleAt = now, time.Time{}
			group.renewing, group.renewAt = false, now
		}
		group.waiting = map[api.ServiceName]bool{}
		for _, backlog := range leader.Waiting {
			group.waiting[backlog.Service] = backlog.Items > 0
		}
	}
}

func (r *Runner) group(id api.GroupID) *runnerGroup {
	group, ok := r.groups[id]
	if !ok {
		group = &runnerGroup{id: id}
		r.groups[id] = group
	}
	return group
}

func (r *Runner) setRooms(rooms []ClaimWant) {
	r.rooms = map[api.RowKey]int{}
	for _, room := range rooms {
		r.rooms[api.RowKey{Service: room.Service, Place: room.Place}] = room.Room
	}
}

func (r *Runner) row(key api.RowKey) *runnerRow {
	row, ok := r.rows[key]
	if !ok {
		row = &runnerRow{}
		r.rows[key] = row
	}
	return row
}

// free is the room of a row that nothing here is about to use.
func (r *Runner) free(key api.RowKey) int { return r.rooms[key] - r.row(key).launching }

func (r *Runner) granted(now time.Time, arrived GrantArrived) []RunnerAction {
	group := r.group(arrived.Group)
	if group.claim == arrived.Serial {
		group.claim = 0
		if arrived.Failed {
			group.claimFrom = now.Add(r.settings.RetryInterval)
		}
	}
	for _, item := range arrived.Grant.Items {
		granted := &run{
			group: arrived.Group, item: item, request: r.settings.NewRequestID(), since: now, heldAt: now,
			key: api.RowKey{Service: item.Service, Place: item.Place},
		}
		r.runs[granted.request] = granted
		r.row(granted.key).held = append(r.row(granted.key).held, granted)
	}
	return r.obey(now, group, Notice{Cancelled: arrived.Grant.Cancelled})
}

// launch runs held items while there is room for them.
func (r *Runner) launch(now time.Time) []RunnerAction {
	var actions []RunnerAction
	if r.kept > r.settings.MaximumUnsettledBytes {
		return nil
	}
	for _, key := range r.sortedRows() {
		row := r.rows[key]
		for len(row.held) > 0 && r.free(key) > 0 && !r.stopping {
			next := row.held[0]
			row.held = row.held[1:]
			row.launching++
			actions = append(actions, r.begin(now, next)...)
		}
	}
	return actions
}

func (r *Runner) sortedRows() []api.RowKey {
	return slices.SortedFunc(maps.Keys(r.rows), func(a, b api.RowKey) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Place, b.Place))
	})
}

// begin sends an item, after its start is committed when it is non-repeatable.
func (r *Runner) begin(now time.Time, next *run) []RunnerAction {
	next.since = now
	if next.item.Repeatable || next.started {
		next.state = runLaunching
		return []RunnerAction{RunItem{Request: next.request, Item: next.item}}
	}
	next.state = runStarting
	actions := []RunnerAction{r.sendStart(next)}
	if r.settings.Faults.SendBeforeStart {
		next.state = runLaunching
		actions = append(actions, RunItem{Request: next.request, Item: next.item})
	}
	return actions
}

func (r *Runner) sendStart(started *run) RunnerAction {
	return SendStart{Group: started.group, Leader: r.group(started.group).leader, Start: Start{
		Item: started.item.Item, Router: r.settings.Router, Request: started.request, Epoch: started.item.Epoch,
	}}
}

func (r *Runner) startAnswered(now time.Time, answered StartAnswered) []RunnerAction {
	started, ok := r.runs[answered.Request]
	if !ok || started.state != runStarting {
		return nil
	}
	switch answered.Answer {
	case StartCommitted:
		started.started = true
		if started.stopped {
			r.drop(started)
			r.putReturned(started, ReturnedItem{Reason: ReturnPreempted})
			return nil
		}
		started.state, started.since = runLaunching, now
		return []RunnerAction{RunItem{Request: started.request, Item: started.item}}
	case StartRefused:
		// An earlier try whose answer was lost may have been committed.
		started.started = true
		r.drop(started)
		r.putReturned(started, ReturnedItem{Reason: ReturnNoRoom})
	case StartUnknown:
		started.askAt = now.Add(r.settings.RetryInterval)
	}
	return nil
}

// startsAgain asks again for the starts whose answers were lost.
func (r *Runner) startsAgain(now time.Time) []RunnerAction {
	var actions []RunnerAction
	for _, request := range r.sortedRuns() {
		started := r.runs[request]
		if started.state == runStarting && !started.askAt.IsZero() && !now.Before(started.askAt) {
			started.askAt = time.Time{}
			actions = append(actions, r.sendStart(started))
		}
	}
	return actions
}

func (r *Runner) sortedRuns() []api.RequestID { return slices.Sorted(maps.Keys(r.runs)) }

func (r *Runner) admitted(request api.RequestID) {
	if admitted, ok := r.runs[request]; ok && admitted.state == runLaunching {
		row := r.row(admitted.key)
		row.launching--
		row.running++
		r.rooms[admitted.key]-- // until Rooms counts it
		admitted.state = runRunning
	}
}

// drop forgets a run.
func (r *Runner) drop(ended *run) {
	delete(r.runs, ended.request)
	row := r.row(ended.key)
	switch ended.state {
	case runHeld:
		row.held = slices.DeleteFunc(row.held, func(held *run) bool { return held == ended })
	case runStarting, runLaunching:
		row.launching--
	case runRunning:
		row.running--
	}
}

func (r *Runner) finished(now time.Time, finished ItemFinished) {
	ended, ok := r.runs[finished.Request]
	if !ok {
		return
	}
	if ended.state == runRunning {
		r.row(ended.key).measure(now.Sub(ended.since))
	}
	refused := ended.state == runLaunching && finished.Returned.Reason == ReturnNoRoom && finished.Outcome == api.OutcomeNotRun
	r.drop(ended)
	switch {
	case finished.Result != nil:
		r.putResult(ended, *finished.Result)
		return
	case refused && !ended.stopped:
		r.holdAgain(now, ended)
		return
	case ended.item.Repeatable || finished.Outcome == api.OutcomeNotRun:
		r.putReturned(ended, finished.Returned)
		return
	}
	r.putResult(ended, ItemResult{
		Item: ended.item.Item, CustomID: ended.item.CustomID, Outcome: finished.Outcome, Code: api.CodeOutcomeUnknown,
		Request: ended.request, Status: finished.Returned.Status, Error: finished.Returned.Error,
	})
}

// holdAgain keeps an item that found no room for when there is some.
func (r *Runner) holdAgain(now time.Time, refused *run) {
	refused.state, refused.since = runHeld, now
	r.runs[refused.request] = refused
	row := r.row(refused.key)
	row.held = slices.Insert(row.held, 0, refused)
	r.rooms[refused.key] = 0 // until Rooms says otherwise
}

func (row *runnerRow) measure(took time.Duration) {
	const weight = 8
	if row.duration == 0 {
		row.duration = took
		return
	}
	row.duration += (took - row.duration) / weight
}

func (r *Runner) putResult(ended *run, result ItemResult) {
	size := len(result.Body) + len(result.Error)
	r.kept += size
	group := r.group(ended.group)
	group.outbox = append(group.outbox, report{result: &result, size: size})
}

func (r *Runner) putReturned(ended *run, returned ReturnedItem) {
	returned.Item, returned.Epoch = ended.item.Item, ended.item.Epoch
	if ended.started {
		returned.Request = ended.request
	}
	group := r.group(ended.group)
	group.outbox = append(group.outbox, report{returned: returned})
}

// returnHeld sends back what waited too long for room, and all on a stop.
func (r *Runner) returnHeld(now time.Time) {
	for _, key := range r.sortedRows() {
		for _, held := range slices.Clone(r.rows[key].held) {
			if r.stopping || now.Sub(held.heldAt) >= r.settings.HoldTime {
				r.drop(held)
				r.putReturned(held, ReturnedItem{Reason: ReturnNoRoom})
			}
		}
	}
}

// obey stops what a leader says to stop.
func (r *Runner) obey(now time.Time, group *runnerGroup, notice Notice) []RunnerAction {
	if len(notice.Cancelled) == 0 && len(notice.Lost) == 0 {
		return nil
	}
	var actions []RunnerAction
	for _, request := range r.sortedRuns() {
		stopped := r.runs[request]
		lost := slices.Contains(notice.Lost, stopped.item.Item)
		if stopped.group != group.id || stopped.stopped || !lost && !slices.Contains(notice.Cancelled, stopped.item.Item.Job) {
			continue
		}
		actions = append(actions, r.stop(stopped)...)
	}
	return actions
}

// stop ends a run early. A non-repeatable one that may be on its way goes on to
// its end: cancelling it would only lose its outcome.
func (r *Runner) stop(stopped *run) []RunnerAction {
	switch {
	case stopped.state == runHeld:
		r.drop(stopped)
		r.putReturned(stopped, ReturnedItem{Reason: ReturnPreempted})
	case stopped.state == runStarting:
		stopped.stopped = true
	case stopped.item.Repeatable:
		stopped.stopped = true
		return []RunnerAction{CancelItem{Request: stopped.request}}
	}
	return nil
}
