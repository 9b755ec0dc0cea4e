package store

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/config"
	"github.com/dykewing/dykewing/internal/dispatch"
	"github.com/dykewing/dykewing/internal/shell"
	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/replication"
)

const (
	ticksPerHeartbeat = 2
	persistBacklog    = 4096
)

// group runs one replica: its log, its applied state and, while it leads, its
// dispatcher.
type group struct {
	id       api.GroupID
	settings config.Store
	log      *logrus.Entry
	disk     *disk
	shell    *shell.Shell[replication.Message, replication.Action]
	persists chan replication.Persist
	done     chan struct{}

	mutex     sync.Mutex // guards all below
	state     *jobs.State
	leading   *dispatch.Leadership // nil unless leading
	services  []api.ServiceName    // of the table in force; nil before the first
	term      uint64
	token     uint64
	proposals map[uint64]chan jobs.Result // by token, until the index is known
	waiting   map[uint64]proposal         // by log index
	confirms  map[uint64]chan replication.Confirmed
	shares    *shareOwner
}

type proposal struct {
	term   uint64
	answer chan jobs.Result
}

func startGroup(system *actor.ActorSystem, id api.GroupID, folder string, settings config.Store, log *logrus.Entry) (*group, error) {
	disk, err := openDisk(folder)
	if err != nil {
		return nil, err
	}
	restored, err := disk.restore()
	if err != nil {
		return nil, errors.Join(err, disk.close())
	}
	machine, err := replication.NewMachine(replication.Settings{
		Group: id, Self: disk.identity, Heartbeat: settings.Heartbeat, ElectionTimeout: settings.ElectionTimeout,
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, restored)
	if err != nil {
		return nil, errors.Join(err, disk.close())
	}
	state, err := disk.openState(folder)
	if err != nil {
		return nil, errors.Join(err, disk.close())
	}
	g := &group{
		id: id, settings: settings, log: log, disk: disk,
		persists: make(chan replication.Persist, persistBacklog), done: make(chan struct{}),
		state: state, proposals: map[uint64]chan jobs.Result{}, waiting: map[uint64]proposal{},
		confirms: map[uint64]chan replication.Confirmed{}, shares: newShareOwner(),
	}
	g.shell = shell.Start(system, machine, g.execute)
	go g.persistLoop()
	return g, nil
}

func (g *group) run(ctx context.Context) {
	ticker := time.NewTicker(g.settings.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.shell.Tell(replication.Tick{})
		case <-ctx.Done():
			g.stop()
			return
		}
	}
}

func (g *group) stop() {
	g.mutex.Lock()
	if g.leading != nil {
		g.leading.Stop()
		g.leading = nil
	}
	g.mutex.Unlock()
	g.shell.Stop()
	close(g.persists)
	<-g.done
	if err := g.disk.close(); err != nil {
		g.log.WithError(err).Error("The data file did not close.")
	}
}

// persistLoop writes with one sync all that waits.
func (g *group) persistLoop() {
	defer close(g.done)
	for persist := range g.persists {
		batch := []replication.Persist{persist}
		for len(g.persists) > 0 {
			batch = append(batch, <-g.persists)
		}
		if err := g.disk.write(batch); err != nil {
			g.log.WithError(err).Error("The log could not be written; the replica stops acknowledging.")
			continue
		}
		g.acknowledge(batch)
	}
}

func (g *group) acknowledge(batch []replication.Persist) {
	g.shell.Tell(replication.Persisted{Sequence: batch[len(batch)-1].Sequence})
}

// execute carries out the replica's actions.
func (g *group) execute(action replication.Action) {
	switch action := action.(type) {
	case replication.Persist:
		g.persists <- action
	case replication.Proposed:
		g.proposed(action)
	case replication.Apply:
		g.apply(action.Entries)
	case replication.RoleChanged:
		g.roleChanged(action)
	case replication.Confirmed:
		g.confirmed(action)
	}
}

func (g *group) proposed(answer replication.Proposed) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	channel := g.proposals[answer.Token]
	delete(g.proposals, answer.Token)
	if answer.Err != nil {
		channel <- jobs.Result{Code: api.CodeNotLeader, Message: answer.Err.Error()}
		return
	}
	g.waiting[answer.Index] = proposal{term: answer.Term, answer: channel}
}

func (g *group) apply(entries []replication.Entry) {
	commands, results := make([]jobs.Entry, 0, len(entries)), make([]jobs.Result, len(entries))
	for i, entry := range entries {
		command := jobs.Entry{Index: entry.Index}
		if entry.Kind == replication.EntryCommand {
			if err := json.Unmarshal(entry.Data, &command.Command); err != nil {
				results[i] = jobs.Result{Code: api.CodeInternal, Message: err.Error()}
			}
		}
		commands = append(commands, command)
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	applied, err := g.state.Apply(commands...)
	if err != nil {
		g.log.WithError(err).Error("Committed entries could not be applied; the replica stops answering.")
		return
	}
	for i, entry := range entries {
		if results[i].Code == "" {
			results[i] = applied[i]
		}
		g.answer(entry, results[i])
		if g.leading != nil {
			g.leading.Applied(commands[i].Command, results[i])
		}
	}
}

// answer gives a proposal its result once its entry is applied.
func (g *group) answer(entry replication.Entry, result jobs.Result) {
	waiting, ok := g.waiting[entry.Index]
	delete(g.waiting, entry.Index)
	if !ok {
		return
	}
	if waiting.term != entry.Term {
		result = jobs.Result{Code: api.CodeNotLeader, Message: "another leader's entry took the place"}
	}
	waiting.answer <- result
}

func (g *group) roleChanged(change replication.RoleChanged) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.term = change.Term
	if g.leading != nil {
		g.leading.Stop()
		g.leading = nil
	}
	if !change.Leading {
		return
	}
	settings := jobs.DefaultDispatcherSettings()
	settings.Term, settings.Lifetime, settings.Retention = change.Term, g.settings.GrantLifetime, g.settings.Retention
	leading, err := dispatch.Start(g.state, settings, g.propose, g.log)
	if err != nil {
		g.log.WithError(err).Error("The waiting items could not be read; none is handed out.")
		return
	}
	g.leading = leading
	if g.services != nil {
		leading.SetServices(g.services)
	}
}

// setServices tells the dispatcher which services the table has.
func (g *group) setServices(services []api.ServiceName) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.services = services
	if g.leading != nil {
		g.leading.SetServices(services)
	}
}

// leadership gives the dispatcher while this replica leads.
func (g *group) leadership(step string) (*dispatch.Leadership, *api.Error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.leading == nil {
		return nil, api.NewError(step, "", api.CodeNotLeader, api.OutcomeNotRun, "this replica does not lead group %d", g.id)
	}
	return g.leading, nil
}

// propose commits a command and gives its result.
func (g *group) propose(ctx context.Context, command jobs.Command) (jobs.Result, *api.Error) {
	const step = "commit command"
	command.Time = time.Now().UTC()
	data, err := json.Marshal(command)
	if err != nil {
		return jobs.Result{}, api.NewError(step, "", api.CodeInternal, api.OutcomeNotRun, "%w", err)
	}
	answer := make(chan jobs.Result, 1)
	g.mutex.Lock()
	g.token++
	token := g.token
	g.proposals[token] = answer
	g.mutex.Unlock()
	g.shell.Tell(replication.Propose{Token: token, Data: data})
	select {
	case result := <-answer:
		return result, nil
	case <-ctx.Done():
		return jobs.Result{}, api.NewError(step, "", api.CodeNoQuorum, api.OutcomeUnknown, "%w", ctx.Err())
	}
}

func (g *group) summary() api.GroupSummary {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	summary := api.GroupSummary{Group: g.id, Term: g.term, Leading: g.leading != nil}
	if g.leading != nil {
		summary.Waiting = g.leading.Backlog()
	}
	return summary
}
