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
	storeConnections = 16                    // per store, for batch only
	batchTickBusy    = 5 * time.Millisecond  // while items are running
	batchTickIdle    = 50 * time.Millisecond // otherwise
	storeCallTimeout = 10 * time.Second      // excludes the long-poll wait of a claim
	stopPollInterval = 20 * time.Millisecond // during a graceful stop
	reportTimeout    = 5 * time.Second       // during a graceful stop, once no item runs
	leaderInterval   = 100 * time.Millisecond
)

// errItemCancelled is the cancellation cause of an item that its leader withdrew.
var errItemCancelled = errors.New("batch item cancelled by its group's leader")

// batchRunner drives the router's jobs.Runner and carries out its actions.
type batchRunner struct {
	router *Router
	ctx    context.Context // ends once all results are reported to the stores
	client *http.Client
	runner *jobs.Runner
	shell  *shell.Shell[jobs.RunnerMessage, jobs.RunnerAction]
	calls  sync.WaitGroup
	active atomic.Int64 // number of running items

	mutex   sync.Mutex // guards cancels
	cancels map[api.RequestID]context.CancelCauseFunc
}

func newBatchRunner(ctx context.Context, router *Router) *batchRunner {
	settings := jobs.DefaultRunnerSettings()
	settings.Router = router.node.ID()
	settings.ClaimWait = router.node.Settings.Router.ClaimWait
	settings.NewRequestID = func() api.RequestID { return api.RequestID(uuid.NewString()) }
	b := &batchRunner{
		router: router, ctx: ctx, client: transport.NewClient(storeConnections),
		runner: jobs.NewRunner(settings), cancels: map[api.RequestID]context.CancelCauseFunc{},
	}
	b.shell = shell.Start(router.node.System, b.runner, b.execute)
	return b
}

// pullBatch fills idle capacity with batch items until ctx ends, then waits for the
// running items and their reports.
func (r *Router) pullBatch(ctx context.Context) {
	reports, stop := context.WithCancel(context.WithoutCancel(ctx))
	b := newBatchRunner(reports, r)
	b.run(ctx)
	stop()
	b.calls.Wait()
	b.shell.Stop()
}

func (b *batchRunner) run(ctx context.Context) {
	lastView, stopping := time.Time{}, false
	for ctx.Err() == nil {
		if time.Since(lastView) >= leaderInterval {
			lastView = time.Now()
			b.shell.Tell(jobs.Leaders{Groups: groupLeaders(b.router.node.Nodes())})
		}
		if b.router.node.Leaving() && !stopping {
			stopping = true
			b.shell.Tell(jobs.Shutdown{})
		}
		b.reportCapacity()
		b.shell.Tell(jobs.RunnerTick{})
		b.pause(ctx)
	}
	b.shell.Tell(jobs.Shutdown{})
	b.awaitReports()
}

func (b *batchRunner) pause(ctx context.Context) {
	interval := batchTickIdle
	if b.active.Load() > 0 {
		interval = batchTickBusy
	}
	select {
	case <-time.After(interval):
	case <-ctx.Done():
	}
}

// awaitReports waits up to the stop timeout for running items, then up to reportTimeout
// for their reports, since the stores may be stopping as well.
func (b *batchRunner) awaitReports() {
	deadline := time.Now().Add(b.router.node.Settings.Node.StopTimeout)
	reportDeadline := time.Now().Add(reportTimeout)
	for idle := false; !idle && time.Now().Before(deadline); {
		b.shell.Tell(jobs.Leaders{Groups: groupLeaders(b.router.node.Nodes())})
		b.shell.Tell(jobs.RunnerTick{})
		running := false
		if b.shell.Inspect(func() { idle, running = b.runner.Idle(), b.runner.Running() }) != nil {
			return
		}
		if running {
			reportDeadline = time.Now().Add(reportTimeout)
		}
		if !running && (time.Now().After(reportDeadline) || !storeAvailable(b.router.node.Nodes())) {
			b.router.log.Warn("No store accepted the last batch reports; their items will be retried or end with outcome unknown.")
			return
		}
		time.Sleep(stopPollInterval)
	}
}

// storeAvailable reports whether any store is not leaving.
func storeAvailable(nodes []api.Node) bool {
	for _, node := range nodes {
		if node.Role == api.RoleStore && !node.Leaving {
			return true
		}
	}
	return false
}

// groupLeaders returns the leader of each group in a view: the one with the highest term.
func groupLeaders(nodes []api.Node) []jobs.GroupLeader {
	found := map[api.GroupID]jobs.GroupLeader{}
	for _, node := range nodes {
		for _, group := range node.Summary.Groups {
			known, ok := found[group.Group]
			if group.Leading && (!ok || group.Term > known.Term) {
				found[group.Group] = jobs.GroupLeader{Group: group.Group, Leader: node.ID, Term: group.Term, Backlog: group.Waiting}
			}
		}
	}
	list := make([]jobs.GroupLeader, 0, len(found))
	for _, leader := range found {
		list = append(list, leader)
	}
	return list
}

// reportCapacity sends the runner the free capacity of each row.
func (b *batchRunner) reportCapacity() {
	snapshot := b.router.node.Table()
	if snapshot == nil {
		return
	}
	var rooms []jobs.RowCapacity
	_ = b.router.admission.Inspect(func() {
		now := time.Now()
		for _, service := range snapshot.Services() {
			for _, row := range snapshot.Service(service) {
				room := b.router.machine.Room(now, row.Key())
				rooms = append(rooms, jobs.RowCapacity{Service: row.Service, Place: row.Place, Slots: room})
			}
		}
	})
	b.shell.Tell(jobs.Capacity{Rows: rooms})
}

// execute carries out the runner's actions concurrently.
func (b *batchRunner) execute(action jobs.RunnerAction) {
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

func (b *batchRunner) cancel(request api.RequestID) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if cancel, ok := b.cancels[request]; ok {
		cancel(errItemCancelled)
	}
}

// call posts a request to the store that leads a group. wait extends the timeout.
func (b *batchRunner) call(step string, leader api.NodeID, path string, wait time.Duration, request, answer any) error {
	address, ok := addressOf(b.router.node.Nodes(), leader)
	if !ok {
		return api.NewError(step, string(leader), api.CodeNotLeader, api.OutcomeNotRun, "leader is not in the membership view")
	}
	ctx, cancel := context.WithTimeout(b.ctx, storeCallTimeout+wait)
	defer cancel()
	err := transport.Call(ctx, b.client, step, address, path, request, answer)
	if err != nil {
		b.router.log.WithError(err).Debug("A batch message to a store failed.")
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

func (b *batchRunner) claim(action jobs.SendClaim) {
	var grant jobs.Grant
	wait := time.Duration(action.Claim.WaitMs) * time.Millisecond
	err := b.call("claim items", action.Leader, storeclient.ClaimsPath(action.Group), wait, action.Claim, &grant)
	b.shell.Tell(jobs.GrantArrived{Group: action.Group, Serial: action.Serial, Grant: grant, Failed: err != nil})
}

func (b *batchRunner) settle(action jobs.SendSettle) {
	var notice jobs.Notice
	err := b.call("settle items", action.Leader, storeclient.SettlePath(action.Group), 0, action.Settle, &notice)
	b.shell.Tell(jobs.SettleAnswered{Group: action.Group, Serial: action.Serial, Notice: notice, Failed: err != nil, Refused: isPermanentRefusal(err)})
}

// isPermanentRefusal reports whether retrying the same report is pointless.
func isPermanentRefusal(err error) bool {
	if err == nil {
		return false
	}
	code := api.AsError("settle items", err).Code
	return code == api.CodeTooLarge || code == api.CodeBadRequest
}

func (b *batchRunner) renew(action jobs.SendRenew) {
	var notice jobs.Notice
	err := b.call("renew grants", action.Leader, storeclient.RenewalsPath(action.Group), 0, action.Renew, &notice)
	b.shell.Tell(jobs.RenewAnswered{Group: action.Group, Notice: notice, Failed: err != nil})
}

func (b *batchRunner) start(action jobs.SendStart) {
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
