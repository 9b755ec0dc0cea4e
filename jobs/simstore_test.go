package jobs

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/replication"
	"github.com/dykewing/dykewing/sim"
)

// call is a request between simulated processes, answered by a reply with the same id.
type call struct {
	id   uint64
	body any
}

type reply struct {
	id     uint64
	body   any
	failed bool
}

// simLog is the durable replication state of a simulated store.
type simLog struct {
	state   replication.HardState
	entries []replication.Entry
}

// simStore is a store with one replica of the group. It uses the real replication
// machine and State and, while it leads, the real Dispatcher.
type simStore struct {
	cluster    *cluster
	id         replication.ReplicaID
	process    *sim.Process
	disk       simLog
	applied    *MemoryStorage
	state      *State
	machine    *replication.Machine
	role       replication.RoleChanged
	dispatcher *Dispatcher
	token      uint64
	proposals  map[uint64]func(Result, bool) // by token
	waiting    map[uint64]waitingEntry       // by index
	answers    map[uint64]func(any)          // to the dispatcher's callers, by token
}

type waitingEntry struct {
	term   uint64
	answer func(Result, bool)
}

func (s *simStore) start() {
	state, err := OpenStateWithFaults(s.applied, s.cluster.faults)
	if err != nil {
		s.cluster.reportViolation("%s: %v", s.id, err)
		return
	}
	s.state, s.dispatcher, s.role = state, nil, replication.RoleChanged{}
	s.proposals, s.waiting = map[uint64]func(Result, bool){}, map[uint64]waitingEntry{}
	s.answers = map[uint64]func(any){}
	index, _ := state.AppliedIndex()
	s.machine, err = replication.NewMachine(replication.Settings{
		Group: 1, Self: s.id, Heartbeat: 20 * time.Millisecond, ElectionTimeout: 100 * time.Millisecond, Random: s.cluster.simulation.ForkRandom(),
	}, replication.RecoveredState{
		HardState: s.disk.state, Entries: slices.Clone(s.disk.entries), Applied: index,
		Snapshot: replication.Snapshot{Members: replication.Members{Voters: s.cluster.voters}},
	})
	if err != nil {
		s.cluster.reportViolation("%s: %v", s.id, err)
		return
	}
	s.process.Every(10*time.Millisecond, func() {
		s.step(replication.Tick{})
		s.dispatch(DispatcherTick{})
	})
}

func (s *simStore) step(message replication.Message) {
	for _, action := range s.machine.Step(s.process.Now(), message) {
		s.execute(action)
	}
}

func (s *simStore) execute(action replication.Action) {
	switch action := action.(type) {
	case replication.Persist:
		s.persist(action)
	case replication.Send:
		s.cluster.network.Send(string(s.id), string(action.Message.To), action.Message)
	case replication.Apply:
		for _, entry := range action.Entries {
			s.apply(entry)
		}
	case replication.Proposed:
		answer := s.proposals[action.Token]
		delete(s.proposals, action.Token)
		if action.Err != nil {
			answer(Result{}, false)
			return
		}
		s.waiting[action.Index] = waitingEntry{term: action.Term, answer: answer}
	case replication.RoleChanged:
		s.role = action
		if s.dispatcher != nil && !action.Leading {
			s.dispatcher = nil
		}
	}
}

// persist syncs at once. Loss of unsynced writes is covered by the simulation of
// package replication.
func (s *simStore) persist(persist replication.Persist) {
	if persist.HardState != nil {
		s.disk.state = *persist.HardState
	}
	if len(persist.Entries) > 0 {
		keep := int(persist.Entries[0].Index) - 1
		s.disk.entries = append(s.disk.entries[:keep:keep], persist.Entries...)
	}
	s.process.After(0, func() { s.step(replication.Persisted{Sequence: persist.Sequence}) })
}

func (s *simStore) apply(entry replication.Entry) {
	command := Command{Time: sim.Epoch}
	if entry.Kind == replication.EntryCommand {
		if err := json.Unmarshal(entry.Data, &command); err != nil {
			s.cluster.reportViolation("entry %d: %v", entry.Index, err)
			return
		}
	}
	results, err := s.state.Apply(Entry{Index: entry.Index, Command: command})
	if err != nil {
		s.cluster.reportViolation("%s: %v", s.id, err)
		return
	}
	s.cluster.checkApplied(s, entry.Index, command, results[0])
	if s.dispatcher != nil {
		s.dispatch(CommandApplied{Command: command, Result: results[0]})
	}
	if waiting, ok := s.waiting[entry.Index]; ok {
		delete(s.waiting, entry.Index)
		waiting.answer(results[0], waiting.term == entry.Term)
	}
	if s.role.Leading && s.dispatcher == nil && entry.Term == s.role.Term {
		s.lead()
	}
}

func (s *simStore) lead() {
	settings := s.cluster.dispatcher
	settings.Term, settings.Faults = s.role.Term, s.cluster.faults
	dispatcher, err := NewDispatcher(s.state, settings, s.process.Now())
	if err != nil {
		s.cluster.reportViolation("%s: %v", s.id, err)
		return
	}
	s.dispatcher = dispatcher
	s.dispatch(KnownServices{Services: []api.ServiceName{"judge", "tutor"}})
}

func (s *simStore) dispatch(message DispatcherMessage) {
	if s.dispatcher == nil {
		return
	}
	for _, action := range s.dispatcher.Step(s.process.Now(), message) {
		switch action := action.(type) {
		case AnswerClaim:
			s.answer(action.Token, action.Grant)
		case AnswerNotice:
			s.answer(action.Token, action.Notice)
		case ProposeCommand:
			s.propose(action.Command, func(Result, bool) {})
		case DispatcherFailed:
			s.cluster.reportViolation("%s: %v", s.id, action.Err)
		}
	}
}

func (s *simStore) answer(token uint64, body any) {
	if answer, ok := s.answers[token]; ok {
		delete(s.answers, token)
		answer(body)
	}
}

func (s *simStore) propose(command Command, answer func(Result, bool)) {
	command.Time = s.process.Now()
	data, err := json.Marshal(command)
	if err != nil {
		s.cluster.reportViolation("encode command: %v", err)
		return
	}
	s.token++
	s.proposals[s.token] = answer
	s.step(replication.Propose{Token: s.token, Data: data})
}

func (s *simStore) receive(from string, message any) {
	switch message := message.(type) {
	case replication.WireMessage:
		s.step(replication.Received{Message: message})
	case call:
		s.serve(from, message)
	}
}

func (s *simStore) serve(from string, request call) {
	respond := func(body any, failed bool) {
		s.cluster.network.Send(string(s.id), from, reply{id: request.id, body: body, failed: failed})
	}
	if s.dispatcher == nil {
		respond(nil, true)
		return
	}
	s.token++
	token := s.token
	s.answers[token] = func(body any) { respond(body, false) }
	switch body := request.body.(type) {
	case Command:
		s.propose(body, func(result Result, ok bool) { respond(result, !ok) })
	case ClaimItems:
		s.dispatch(ClaimArrived{Token: token, Claim: body})
	case Renew:
		s.dispatch(RenewArrived{Token: token, Renew: body})
	case Settle:
		returned := ItemsReturned{Token: token, Router: body.Router, Returned: body.Returned}
		command, ok := body.Command()
		if !ok {
			s.dispatch(returned)
			return
		}
		s.propose(command, func(_ Result, ok bool) {
			if !ok {
				respond(nil, true)
				return
			}
			s.dispatch(returned)
		})
	}
}

func (s *simStore) crash() {
	if s.process.Up() {
		s.process.Crash()
		s.dispatcher, s.role = nil, replication.RoleChanged{}
	}
}

func (s *simStore) restart() {
	if !s.process.Up() {
		s.process.Restart()
		s.start()
	}
}

// simRouter is a router with the real Runner and a simulated engine.
type simRouter struct {
	cluster *cluster
	process *sim.Process
	runner  *Runner
	slots   int
	running map[api.RequestID]GrantedItem
	calls   map[uint64]func(any, bool)
	serial  uint64
	name    string
}

func (r *simRouter) start() {
	settings := r.cluster.runner
	settings.Router = api.NodeID(r.name)
	settings.Faults = r.cluster.runnerFaults
	settings.NewRequestID = func() api.RequestID { return api.RequestID(r.cluster.uniqueID(r.name)) }
	r.runner = NewRunner(settings)
	r.running, r.calls = map[api.RequestID]GrantedItem{}, map[uint64]func(any, bool){}
	r.process.Every(10*time.Millisecond, func() {
		r.step(Leaders{Groups: r.cluster.leaders()})
		r.sendRooms()
		r.step(RunnerTick{})
	})
}

func (r *simRouter) sendRooms() {
	var rooms []RowCapacity
	for _, service := range []api.ServiceName{"judge", "tutor"} {
		if room := r.slots - len(r.running); room > 0 {
			rooms = append(rooms, RowCapacity{Service: service, Place: "old", Slots: room})
		}
	}
	r.step(Capacity{Rows: rooms})
}

func (r *simRouter) step(message RunnerMessage) {
	for _, action := range r.runner.Step(r.process.Now(), message) {
		r.execute(action)
	}
}

// call sends a request to a store; done gets the answer, or a failure after a timeout.
func (r *simRouter) call(to api.NodeID, body any, wait time.Duration, done func(any, bool)) {
	r.serial++
	id := r.serial
	r.calls[id] = done
	r.cluster.network.Send(r.name, string(to), call{id: id, body: body})
	r.process.After(wait+100*time.Millisecond, func() { r.answered(reply{id: id, failed: true}) })
}

func (r *simRouter) answered(answer reply) {
	if done, ok := r.calls[answer.id]; ok {
		delete(r.calls, answer.id)
		done(answer.body, answer.failed)
	}
}

func (r *simRouter) execute(action RunnerAction) {
	switch action := action.(type) {
	case SendClaim:
		r.call(action.Leader, action.Claim, r.cluster.runner.ClaimWait, func(body any, failed bool) {
			grant, _ := body.(Grant)
			r.step(GrantArrived{Group: action.Group, Serial: action.Serial, Grant: grant, Failed: failed})
		})
	case SendSettle:
		r.call(action.Leader, action.Settle, 0, func(body any, failed bool) {
			notice, _ := body.(Notice)
			r.step(SettleAnswered{Group: action.Group, Serial: action.Serial, Notice: notice, Failed: failed})
		})
	case SendRenew:
		r.call(action.Leader, action.Renew, 0, func(body any, failed bool) {
			notice, _ := body.(Notice)
			r.step(RenewAnswered{Group: action.Group, Notice: notice, Failed: failed})
		})
	case SendStart:
		r.call(action.Leader, Command{Start: &action.Start}, 0, func(body any, failed bool) {
			answer := StartCommitted
			if result, _ := body.(Result); failed {
				answer = StartUnknown
			} else if result.Code != "" {
				answer = StartRefused
			}
			r.step(StartAnswered{Request: action.Start.Request, Answer: answer})
		})
	case RunItem:
		r.process.After(time.Millisecond, func() { r.run(action) })
	case CancelItem:
		if _, ok := r.running[action.Request]; ok {
			r.end(action.Request, ItemFinished{Request: action.Request, Outcome: api.OutcomeUnknown, Returned: ReturnedItem{Reason: ReturnPreempted}})
		}
	}
}

// run simulates the engine: it rejects the request, fails, loses the answer or returns
// one.
func (r *simRouter) run(run RunItem) {
	if len(r.running) >= r.slots {
		r.step(ItemFinished{Request: run.Request, Outcome: api.OutcomeNotRun, Returned: ReturnedItem{Reason: ReturnNoCapacity}})
		return
	}
	r.running[run.Request] = run.Item
	r.step(ItemAdmitted{Request: run.Request})
	random := r.cluster.simulation.Random()
	chance := random.Float64()
	if chance < 0.05 {
		r.end(run.Request, ItemFinished{Request: run.Request, Outcome: api.OutcomeNotRun, Returned: ReturnedItem{Reason: ReturnNoCapacity, RetryAfterMs: 30}})
		return
	}
	r.cluster.recordExecution(run)
	finished := ItemFinished{Request: run.Request}
	switch {
	case chance < 0.15:
		finished.Outcome, finished.Returned = api.OutcomeUnknown, ReturnedItem{Reason: ReturnFailed, Error: "lost"}
	default:
		body, _ := json.Marshal(run.Item.CustomID)
		finished.Result = &ItemResult{
			Item: run.Item.Item, CustomID: run.Item.CustomID, Outcome: api.OutcomeRan, Status: 200, Body: body, Request: run.Request,
		}
	}
	took := time.Duration(random.Int64N(int64(60 * time.Millisecond)))
	if random.Float64() < 0.03 {
		took += 2 * r.cluster.dispatcher.GrantLifetime // longer than the lifetime of a grant
	}
	r.process.After(took, func() { r.end(run.Request, finished) })
}

func (r *simRouter) end(request api.RequestID, finished ItemFinished) {
	if _, ok := r.running[request]; !ok {
		return
	}
	delete(r.running, request)
	r.sendRooms()
	r.step(finished)
}

func (r *simRouter) crash() {
	if r.process.Up() {
		r.process.Crash()
	}
}

func (r *simRouter) restart() {
	if !r.process.Up() {
		r.process.Restart()
		r.start()
	}
}

func sortedKeys[V any](values map[JobID]V) []JobID { return slices.Sorted(maps.Keys(values)) }
