package jobs

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// Runner is the router's side of batch processing. It claims items for idle room, runs
// them, and reports their results until a leader has accepted them.
//
// A Runner is not safe for concurrent use.
type Runner struct {
	settings       RunnerSettings
	groups         map[api.GroupID]*runnerGroup
	rooms          map[api.RowKey]int
	rows           map[api.RowKey]*runnerRow
	runs           map[api.RequestID]*run
	unsettledBytes int // size of the results that no leader has accepted
	stopping       bool
}

// runnerGroup is the Runner's state for one group.
type runnerGroup struct {
	id             api.GroupID
	leader         api.NodeID // empty if unknown
	term           uint64
	waiting        map[api.ServiceName]bool
	serial         uint64 // of the last claim or settle
	claimSerial    uint64 // serial of the pending claim; 0 if none
	claimedRows    map[api.RowKey]bool
	claimNotBefore time.Time // no claims are sent earlier
	outbox         []report
	settleSerial   uint64 // serial of the pending settle; 0 if none
	oneByOne       bool   // send a single report at a time, after a leader refused several
	settleCount    int    // number of reports in the pending settle
	settleAt       time.Time
	renewing       bool
	renewAt        time.Time
}

// report is one result or returned item of a Settle.
type report struct {
	result   *ItemResult
	returned ReturnedItem
	size     int
}

// runnerRow is this router's work on one row.
type runnerRow struct {
	held      []*run // granted, waiting for room, oldest first
	launching int    // starting, not yet counted in rooms
	running   int
	duration  time.Duration // moving average of the time of a run
}

// run is one granted item.
type run struct {
	group        api.GroupID
	item         GrantedItem
	request      api.RequestID
	key          api.RowKey
	state        runState
	since        time.Time // when state was entered
	heldAt       time.Time // when it was first held
	started      bool      // the start of a non-repeatable item may be committed
	stopped      bool      // cancelled or lost
	retryStartAt time.Time // when to send the start again; zero while it is pending
}

type runState int

const (
	runHeld runState = iota
	runStarting
	runLaunching
	runRunning
)

// NewRunner returns a Runner without groups and room.
func NewRunner(settings RunnerSettings) *Runner {
	return &Runner{
		settings: settings, groups: map[api.GroupID]*runnerGroup{},
		rooms: map[api.RowKey]int{}, rows: map[api.RowKey]*runnerRow{}, runs: map[api.RequestID]*run{},
	}
}

// Step handles one message and returns the resulting actions.
func (r *Runner) Step(now time.Time, message RunnerMessage) []RunnerAction {
	var actions []RunnerAction
	switch message := message.(type) {
	case Leaders:
		r.setLeaders(now, message.Groups)
	case Capacity:
		r.setRooms(message.Rows)
	case GrantArrived:
		actions = r.handleGrant(now, message)
	case StartAnswered:
		actions = r.handleStartAnswer(now, message)
	case ItemAdmitted:
		r.handleAdmitted(message.Request)
	case ItemFinished:
		r.handleFinished(now, message)
	case SettleAnswered:
		actions = r.handleSettleAnswer(now, message)
	case RenewAnswered:
		actions = r.handleRenewAnswer(now, message)
	case RunnerTick:
		actions = r.retryStarts(now)
	case Shutdown:
		r.stopping = true
	}
	r.returnHeld(now) // before launchHeld: after a pause of the process, held items may be outdated
	actions = append(actions, r.launchHeld(now)...)
	return append(actions, r.sendDue(now)...)
}

// Idle reports whether no item is held, running or unreported, so that a graceful
// shutdown may complete.
func (r *Runner) Idle() bool {
	for _, group := range r.groups {
		if len(group.outbox) > 0 {
			return false
		}
	}
	return len(r.runs) == 0
}

// Running reports whether a worker may be processing an item.
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
			group.claimSerial, group.settleSerial = 0, 0
			group.claimNotBefore, group.settleAt = now, time.Time{}
			group.renewing, group.renewAt = false, now
		}
		group.waiting = map[api.ServiceName]bool{}
		for _, backlog := range leader.Backlog {
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

func (r *Runner) setRooms(rooms []RowCapacity) {
	r.rooms = map[api.RowKey]int{}
	for _, room := range rooms {
		r.rooms[api.RowKey{Service: room.Service, Place: room.Place}] = room.Slots
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

// freeRoom is the room of a row less the items about to use it.
func (r *Runner) freeRoom(key api.RowKey) int { return r.rooms[key] - r.row(key).launching }

func (r *Runner) handleGrant(now time.Time, arrived GrantArrived) []RunnerAction {
	group := r.group(arrived.Group)
	if group.claimSerial == arrived.Serial {
		group.claimSerial = 0
		if arrived.Failed {
			group.claimNotBefore = now.Add(r.settings.RetryInterval)
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
	return r.applyNotice(now, group, Notice{Cancelled: arrived.Grant.Cancelled})
}

// launchHeld starts held items as far as there is room for them.
func (r *Runner) launchHeld(now time.Time) []RunnerAction {
	var actions []RunnerAction
	if r.unsettledBytes > r.settings.MaxUnsettledBytes {
		return nil
	}
	for _, key := range r.sortedRows() {
		row := r.rows[key]
		for len(row.held) > 0 && r.freeRoom(key) > 0 && !r.stopping {
			next := row.held[0]
			row.held = row.held[1:]
			row.launching++
			actions = append(actions, r.startRun(now, next)...)
		}
	}
	return actions
}

func (r *Runner) sortedRows() []api.RowKey {
	return slices.SortedFunc(maps.Keys(r.rows), func(a, b api.RowKey) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Place, b.Place))
	})
}

// startRun sends an item to a worker. A non-repeatable item is sent once its start is
// committed.
func (r *Runner) startRun(now time.Time, next *run) []RunnerAction {
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

func (r *Runner) handleStartAnswer(now time.Time, answered StartAnswered) []RunnerAction {
	started, ok := r.runs[answered.Request]
	if !ok || started.state != runStarting {
		return nil
	}
	switch answered.Answer {
	case StartCommitted:
		started.started = true
		if started.stopped {
			r.removeRun(started)
			r.reportReturned(started, ReturnedItem{Reason: ReturnPreempted})
			return nil
		}
		started.state, started.since = runLaunching, now
		return []RunnerAction{RunItem{Request: started.request, Item: started.item}}
	case StartRefused:
		// An earlier attempt whose answer was lost may have been committed.
		started.started = true
		r.removeRun(started)
		r.reportReturned(started, ReturnedItem{Reason: ReturnNoCapacity})
	case StartUnknown:
		started.retryStartAt = now.Add(r.settings.RetryInterval)
	}
	return nil
}

// retryStarts repeats starts whose outcome is unknown.
func (r *Runner) retryStarts(now time.Time) []RunnerAction {
	var actions []RunnerAction
	for _, request := range r.sortedRuns() {
		started := r.runs[request]
		if started.state == runStarting && !started.retryStartAt.IsZero() && !now.Before(started.retryStartAt) {
			started.retryStartAt = time.Time{}
			actions = append(actions, r.sendStart(started))
		}
	}
	return actions
}

func (r *Runner) sortedRuns() []api.RequestID { return slices.Sorted(maps.Keys(r.runs)) }

func (r *Runner) handleAdmitted(request api.RequestID) {
	if admitted, ok := r.runs[request]; ok && admitted.state == runLaunching {
		row := r.row(admitted.key)
		row.launching--
		row.running++
		r.rooms[admitted.key]-- // until the next update
		admitted.state = runRunning
	}
}

// removeRun stops tracking a run.
func (r *Runner) removeRun(ended *run) {
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

func (r *Runner) handleFinished(now time.Time, finished ItemFinished) {
	ended, ok := r.runs[finished.Request]
	if !ok {
		return
	}
	if ended.state == runRunning {
		r.row(ended.key).recordDuration(now.Sub(ended.since))
	}
	refused := ended.state == runLaunching && finished.Returned.Reason == ReturnNoCapacity && finished.Outcome == api.OutcomeNotRun
	r.removeRun(ended)
	switch {
	case finished.Result != nil:
		r.reportResult(ended, *finished.Result)
		return
	case refused && !ended.stopped:
		r.returnToHeld(now, ended)
		return
	case ended.item.Repeatable || finished.Outcome == api.OutcomeNotRun:
		r.reportReturned(ended, finished.Returned)
		return
	}
	r.reportResult(ended, ItemResult{
		Item: ended.item.Item, CustomID: ended.item.CustomID, Outcome: finished.Outcome, Code: api.CodeOutcomeUnknown,
		Request: ended.request, Status: finished.Returned.Status, Error: finished.Returned.Error,
	})
}

// returnToHeld puts an item that found no room back at the head of its row.
func (r *Runner) returnToHeld(now time.Time, refused *run) {
	refused.state, refused.since = runHeld, now
	r.runs[refused.request] = refused
	row := r.row(refused.key)
	row.held = slices.Insert(row.held, 0, refused)
	r.rooms[refused.key] = 0 // until the next update
}

func (row *runnerRow) recordDuration(took time.Duration) {
	const weight = 8
	if row.duration == 0 {
		row.duration = took
		return
	}
	row.duration += (took - row.duration) / weight
}
