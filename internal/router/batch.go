package router

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/shell"
	"github.com/dykewing/dykewing/internal/storeclient"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/jobs"
)

const (
	storeConnections  = 16                     // a store, for batch only
	batchTickBusy     = 5 * time.Millisecond   // while items are here
	batchTickIdle     = 50 * time.Millisecond  // otherwise
	storeCallTimeout  = 10 * time.Second       // without the wait of a claim
	stopPollInterval  = 20 * time.Millisecond  // while a planned stop waits
	reportTimeout     = 5 * time.Second        // of a planned stop, once nothing runs
	leadersOfViewLate = 100 * time.Millisecond // a view is told at most this often
)

// errItemStopped cancels an item that a leader no longer wants.
var errItemStopped = errors.New("the batch item was cancelled")

// batch runs the jobs.Runner of this router.
type batch struct {
	router *Router
	ctx    context.Context // until the stores need no more reports
	client *http.Client
	runner *jobs.Runner
	shell  *shell.Shell[jobs.RunnerMessage, jobs.RunnerAction]
	calls  sync.WaitGroup
	active atomic.Int64 // items being run

	mutex   sync.Mutex // guards cancels
	cancels map[api.RequestID]context.CancelCauseFunc
}

func newBatch(ctx context.Context, router *Router) *batch {
	settings := jobs.DefaultRunnerSettings()
	settings.Router = router.node.ID()
	settings.ClaimWait = router.node.Settings.Router.ClaimWait
	settings.NewRequestID = func() api.RequestID { return api.RequestID(uuid.NewString()) }
	b := &batch{
		router: router, ctx: ctx, client: transport.NewClient(storeConnections),
		runner: jobs.NewRunner(settings), cancels: map[api.RequestID]context.CancelCauseFunc{},
	}
	b.shell = shell.Start(router.node.System, b.runner, b.execute)
	return b
}

// pullBatch fills idle room with items until ctx ends, then lets those that run
// end and be reported.
func (r *Router) pullBatch(ctx context.Context) {
	reports, stop := context.WithCancel(context.WithoutCancel(ctx))
	b := newBatch(reports, r)
	b.run(ctx)
	stop()
	b.calls.Wait()
	b.shell.Stop()
}

func (b *batch) run(ctx context.Context) {
	viewed, stopping := time.Time{}, false
	for ctx.Err() == nil {
		if time.Since(viewed) >= leadersOfViewLate {
			viewed = time.Now()
			b.shell.Tell(jobs.Leaders{Groups: leaders(b.router.node.Nodes())})
		}
		if b.router.node.Leaving() && !stopping {
			stopping = true
			b.shell.Tell(jobs.Stopping{})
		}
		b.tellRooms()
		b.shell.Tell(jobs.RunnerTick{})
		b.pause(ctx)
	}
	b.shell.Tell(jobs.Stopping{})
	b.awaitReports()
}

func (b *batch) pause(ctx context.Context) {
	interval := batchTickIdle
	if b.active.Load() > 0 {
		interval = batchTickBusy
	}
	select {
	case <-time.After(interval):
	case <-ctx.Done():
	}
}

// awaitReports lets what runs end, within the stop timeout, and be reported,
// within a shorter one: the stores may be stopping too.
func (b *batch) awaitReports() {
	deadline := time.Now().Add(b.router.node.Settings.Node.StopTimeout)
	reported := time.Now().Add(reportTimeout)
	for idle := false; !idle && time.Now().Before(deadline); {
		b.shell.Tell(jobs.Leaders{Groups: leaders(b.router.node.Nodes())})
		b.shell.Tell(jobs.RunnerTick{})
		running := false
		if b.shell.Inspect(func() { idle, running = b.runner.Idle(), b.runner.Running() }) != nil {
			return
		}
		if running {
			reported = time.Now().Add(reportTimeout)
		}
		if !running && (time.Now().After(reported) || !storeStays(b.router.node.Nodes())) {
			b.router.log.Warn("No store took the last batch reports; their items run again or end as unknown.")
			return
		}
		time.Sleep(stopPollInterval)
	}
}

// storeStays tells whether a store is there that is not stopping itself.
func storeStays(nodes []api.Node) bool {
	for _, node := range nodes {
		if node.Role == api.RoleStore && !node.Leaving {
			return true
		}
	}
	return false
}

// leaders finds each group's leader in a view: the one with the highest term.
func leaders(nodes []api.Node) []jobs.GroupLeader {
	found := map[api.GroupID]jobs.GroupLeader{}
	for _, node := range nodes {
		for _, group := range node.Summary.Groups {
			known, ok := found[group.Group]
			if group.Leading && (!ok || group.Term > known.Term) {
				found[group.Group] = jobs.GroupLeader{Group: group.Group, Leader: node.ID, Term: group.Term, Waiting: group.Waiting}
			}
		}
	}
	list := make([]jobs.GroupLeader, 0, len(found))
	for _, leader := range found {
		list = append(list, leader)
	}
	return list
}

// tellRooms tells the runner the idle room of each row.
func (b *batch) tellRooms() {
	snapshot := b.router.node.Table()
	if snapshot == nil {
		return
	}
	var rooms []jobs.ClaimWant
	_ = b.router.admission.Inspect(func() {
		now := time.Now()
		for _, service := range snapshot.Services() {
			for _, row := range snapshot.Service(service) {
				room := b.router.machine.Room(now, row.Key())
				rooms = append(rooms, jobs.ClaimWant{Service: row.Service, Place: row.Place, Room: room})
			}
		}
	})
	b.shell.Tell(jobs.Rooms{Rooms: rooms})
}

// execute carries out the runner's actions, each beside the others.
func (b *batch) execute(action jobs.RunnerAction) {
	switch action := action.(type) {
	case jobs.SendClaim:
		b.calls.Go(func() { b.claim(action) })
	case jobs.SendStart:
		b.calls.Go(func() { b.start(action) })
	case jobs.SendSettle:
		b.calls.Go(func() { b.settle(action) })
	case jobs.SendRenew:
		b.calls.Go(func() { b.renew(action) })
	case jobs.RunItem:
		b.active.Add(1)
		b.calls.Go(func() {
			defer b.active.Add(-1)
			b.runItem(action)
		})
	case jobs.CancelItem:
		b.cancel(action.Request)
	}
}

func (b *batch) cancel(request api.RequestID) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if cancel, ok := b.cancels[request]; ok {
		cancel(errItemStopped)
	}
}

// call posts to the leader's store.
func (b *batch) call(step string, leader api.NodeID, path string, wait time.Duration, request, answer any) error {
	address, ok := addressOf(b.router.node.Nodes(), leader)
	if !ok {
		return api.NewError(step, string(leader), api.CodeNotLeader, api.OutcomeNotRun, "the leader is not in the view")
	}
	ctx, cancel := context.WithTimeout(b.ctx, storeCallTimeout+wait)
	defer cancel()
	err := transport.Call(ctx, b.client, step, address, path, request, answer)
	if err != nil {
		b.router.log.WithError(err).Debug("A store did not take a batch message.")
	}
	b.router.metrics.batchMessages.WithLabelValues(step).Inc()
	return err
}

func addressOf(nodes []api.Node, id api.NodeID) (string, bool) {
	for _, node := range nodes {
		if node.ID == id {
			return node.Address, true
		}
	}
	return "", false
}

func (b *batch) claim(action jobs.SendClaim) {
	var grant jobs.Grant
	wait := time.Duration(action.Claim.WaitMs) * time.Millisecond
	err := b.call("claim items", action.Leader, storeclient.ClaimsPath(action.Group), wait, action.Claim, &grant)
	b.shell.Tell(jobs.GrantArrived{Group: action.Group, Serial: action.Serial, Grant: grant, Failed: err != nil})
}

func (b *batch) settle(action jobs.SendSettle) {
	var notice jobs.Notice
	err := b.call("settle items", action.Leader, storeclient.SettlePath(action.Group), 0, action.Settle, &notice)
	b.shell.Tell(jobs.SettleAnswered{Group: action.Group, Serial: action.Serial, Notice: notice, Failed: err != nil, Refused: refusedForGood(err)})
}

// refusedForGood tells whether a report would be refused again.
func refusedForGood(err error) bool {
	if err == nil {
		return false
	}
	code := api.AsError("settle items", err).Code
	return code == api.CodeTooLarge || code == api.CodeBadRequest
}

func (b *batch) renew(action jobs.SendRenew) {
	var notice jobs.Notice
	err := b.call("renew grants", action.Leader, storeclient.RenewPath(action.Group), 0, action.Renew, &notice)
	b.shell.Tell(jobs.RenewAnswered{Group: action.Group, Notice: notice, Failed: err != nil})
}

func (b *batch) start(action jobs.SendStart) {
	var result jobs.Result
	err := b.call("commit start", action.Leader, storeclient.CommandsPath(action.Group), 0, jobs.Command{Start: &action.Start}, &result)
	answer := jobs.StartCommitted
	switch {
	case err != nil, result.Code == api.CodeNotLeader, result.Code == api.CodeNoQuorum:
		answer = jobs.StartUnknown
	case result.Code != "":
		answer = jobs.StartRefused
	}
	b.shell.Tell(jobs.StartAnswered{Request: action.Start.Request, Answer: answer})
}
