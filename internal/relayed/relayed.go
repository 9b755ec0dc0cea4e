// Package relayed asks processes that may be out of reach: straight, or through one peer
// that reaches them, as package detour decides. A question that a peer passes on goes to
// the process that it names and no further: the paths that are passed on are listed, and
// the one that passes on is not among them.
package relayed

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/detour"
	"github.com/dykewing/dykewing/internal/transport"
)

// Settings of an Asker.
type Settings struct {
	Self     func() api.Node
	Nodes    func() []api.Node // the live view
	Paths    []string          // that this process passes on for others
	Log      *logrus.Entry
	Registry Registerer
	// DialTimeout is until a connection is up; 0: dialTimeout.
	DialTimeout time.Duration
}

// Asker asks for one process, and passes on what its peers ask. It may be used from
// anywhere.
type Asker struct {
	settings Settings
	client   *http.Client
	metrics  *metrics
	room     chan struct{} // a token for each question that is passed on

	mutex   sync.Mutex // guards all below
	ways    *detour.Ways
	peers   []api.NodeID
	peersAt time.Time
}

// Question is what is asked.
type Question struct {
	Step   string // for errors
	Target api.Node
	Path   string
	Body   any
	// Within is for how long an answer is of use, over all ways.
	Within time.Duration
	// Repeatable: the process knows copies of a question, so that it may go by several
	// ways at once. Any other one goes by the next way only when it has provably not
	// arrived by the one before.
	Repeatable bool
}

const (
	// mostPassedOn at once: about what comes in the time of one at the busiest frontend
	// when a third of its zone asks through it.
	mostPassedOn = 64
	// wayMargin of a question's time is left for a peer's own answer.
	wayMargin = 10 * time.Millisecond
	// leastTime must be left for a way after the first one to begin: with less a peer that works could not
	// answer, and would be left alone for it.
	leastTime = wayMargin + 10*time.Millisecond
	// peersLife is how long the order of peers is kept: to make it costs a hash a process.
	peersLife = 250 * time.Millisecond
	// connections kept to each process, how long, and until one is up: within the time
	// that an owner of limits has.
	connections        = 2
	dialTimeout        = 50 * time.Millisecond
	connectionLifetime = 30 * time.Second
	silenceLimit       = time.Second
)

// New gives an asker; ServeHTTP is to be served under Path.
func New(settings Settings) *Asker {
	return &Asker{
		settings: settings, metrics: newMetrics(settings.Registry), room: make(chan struct{}, mostPassedOn), ways: detour.New(),
		client: transport.NewProbingClient(transport.Options{
			ConnectionsPerHost: connections, DialTimeout: cmp.Or(settings.DialTimeout, dialTimeout), IdleLifetime: connectionLifetime, SilenceLimit: silenceLimit,
		}),
	}
}

// Close ends idle connections.
func (a *Asker) Close() { a.client.CloseIdleConnections() }

// Apart tells whether this process reaches none of those that it asks straight.
func (a *Asker) Apart() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.ways.Apart(clock.Now())
}

// outcome is what one way brought.
type outcome struct {
	way    detour.Way
	result detour.Result
	body   json.RawMessage
	err    error
}

// Ask decodes the first answer that comes by any way, and tells by which peer (empty:
// straight). What comes later by the others only tells which ways work.
func (a *Asker) Ask(ctx context.Context, question Question, answer any) (api.NodeID, error) {
	body, err := json.Marshal(question.Body)
	if err != nil {
		return "", api.NewError(question.Step, question.Target.Address, api.CodeInternal, api.OutcomeNotRun, "encode: %w", err)
	}
	// Ways are not cut when another has answered: their end tells whether they work.
	within, cancel := context.WithTimeout(context.WithoutCancel(ctx), question.Within)
	run := &asking{Asker: a, question: question, body: body, ends: make(chan outcome, mostWays), ctx: within}
	won, err := run.run(ctx)
	go run.finish(cancel)
	if err != nil {
		a.metrics.asked.WithLabelValues("none").Inc()
		return "", err
	}
	if err := json.Unmarshal(won.body, answer); err != nil {
		return "", api.NewError(question.Step, question.Target.Address, api.CodeUpstream, api.OutcomeUnknown, "read answer: %w", err)
	}
	a.metrics.asked.WithLabelValues(label(won.way)).Inc()
	return won.way.Via, nil
}

func label(way detour.Way) string {
	if way.Straight() {
		return "straight"
	}
	return "peer"
}

// mostWays of one question: the straight one and detour's peers, with room.
const mostWays = 8

// asking is one question under way.
type asking struct {
	*Asker
	question Question
	body     []byte
	ends     chan outcome
	ctx      context.Context
	machine  *detour.Question
	begun    int // ways
	open     int // of them under way
}

// run tries ways until one answers, none is left or the time is over.
func (r *asking) run(caller context.Context) (outcome, error) {
	r.mutex.Lock()
	r.machine = r.ways.Begin(clock.Now(), r.question.Target.ID, r.question.Repeatable)
	r.mutex.Unlock()
	var failed error // of all ways that ended
	more := r.next()
	for {
		var due <-chan time.Time
		if more && r.question.Repeatable {
			due = time.After(r.due())
		}
		select {
		case end := <-r.ends:
			r.note(end)
			if end.err == nil {
				return end, nil
			}
			failed = errors.Join(failed, end.err)
			if more = more && r.mayGoOn(end); more {
				more = r.next()
			}
		case <-due:
			more = r.next()
		case <-r.ctx.Done():
			return outcome{}, errors.Join(failed, api.NewError(r.question.Step, r.question.Target.Address, api.CodeDeadline, api.OutcomeUnknown, "no answer by any way within %v", r.question.Within))
		case <-caller.Done():
			return outcome{}, caller.Err()
		}
		if r.open == 0 && !more {
			return outcome{}, failed
		}
	}
}

// mayGoOn tells whether the question may go by another way after one failed.
func (r *asking) mayGoOn(end outcome) bool {
	if end.result == detour.Answered {
		return false // the process itself said no
	}
	var failure *api.Error
	return r.question.Repeatable || errors.As(end.err, &failure) && failure.Outcome == api.OutcomeNotRun
}

func (r *asking) due() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return max(r.machine.Due().Sub(clock.Now()), 0)
}

// next begins the next way; false without one.
func (r *asking) next() bool {
	if deadline, _ := r.ctx.Deadline(); r.begun > 0 && time.Until(deadline) < leastTime {
		return false
	}
	now := clock.Now()
	r.mutex.Lock()
	way, ok := r.machine.Next(now, func() []api.NodeID { return r.listPeers(now) })
	r.mutex.Unlock()
	if !ok || r.open == mostWays {
		return false
	}
	r.begun, r.open = r.begun+1, r.open+1
	go func() { r.ends <- r.send(r.ctx, way, r.question, r.body) }()
	return true
}

// note takes the end of one way.
func (r *asking) note(end outcome) {
	r.open--
	r.changed(r.question.Target.ID, end, func(now time.Time) bool { return r.machine.Ended(now, end.way, end.result) })
}

// changed logs it when what a way's end tells changes the way to a process.
func (a *Asker) changed(target api.NodeID, end outcome, take func(now time.Time) bool) {
	now := clock.Now()
	a.mutex.Lock()
	before := a.ways.Changed(target)
	changed := take(now)
	a.mutex.Unlock()
	if !changed {
		return
	}
	entry := a.settings.Log.WithFields(logrus.Fields{
		"event": "way_changed", "target": target, "via": end.way.Via, "answered": end.result == detour.Answered,
	})
	if !before.IsZero() {
		entry = entry.WithField("age_ms", now.Sub(before).Milliseconds())
	}
	entry.Info("A process is asked by another way than before.")
}

// finish takes the ends of the ways that were not waited for.
func (r *asking) finish(cancel context.CancelFunc) {
	defer cancel()
	for r.open > 0 {
		r.note(<-r.ends)
	}
}

// listPeers is the order of peers; the mutex is held.
func (a *Asker) listPeers(now time.Time) []api.NodeID {
	if now.Sub(a.peersAt) > peersLife || a.peers == nil {
		a.peers, a.peersAt = detour.Peers(a.settings.Self(), a.settings.Nodes()), now
	}
	return a.peers
}

// send asks by one way.
func (a *Asker) send(ctx context.Context, way detour.Way, question Question, body json.RawMessage) outcome {
	end := outcome{way: way}
	if way.Straight() {
		end.err = transport.Call(ctx, a.client, question.Step, question.Target.Address, question.Path, body, &end.body)
		end.result = resultOf(end.err)
		return end
	}
	peer, known := find(a.settings.Nodes(), way.Via)
	if !known {
		end.result, end.err = detour.Silent, api.NewError(question.Step, string(way.Via), api.CodeNoContact, api.OutcomeNotRun, "the peer is gone")
		return end
	}
	deadline, _ := ctx.Deadline()
	message := Message{Target: question.Target.ID, Path: question.Path, Body: body, Within: max(time.Until(deadline)-wayMargin, 0)}
	var reply Reply
	if end.err = transport.Call(ctx, a.client, question.Step, peer.Address, Path, message, &reply); end.err != nil {
		end.result = detour.Silent
		return end
	}
	end.result, end.body = detour.Answered, reply.Body
	switch {
	case !reply.Reached:
		end.result = detour.Unreached
		end.err = api.NewError(question.Step, string(way.Via), api.CodeNoContact, reply.outcome(), "the peer does not reach %s: %s", question.Target.ID, reply.Failure)
	case reply.Failure != "":
		end.err = api.NewError(question.Step, string(question.Target.ID), api.CodeUpstream, reply.outcome(), "%s", reply.Failure)
	}
	return end
}

// resultOf tells what the end of a straight question says of the way: an answer that is
// an error is one.
func resultOf(err error) detour.Result {
	var failure *api.Error
	if err == nil || errors.As(err, &failure) && failure.Code != api.CodeUpstream && failure.Code != api.CodeDeadline && failure.Code != api.CodeClientCancelled {
		return detour.Answered
	}
	return detour.Silent
}

func find(nodes []api.Node, id api.NodeID) (api.Node, bool) {
	for _, node := range nodes {
		if node.ID == id {
			return node, true
		}
	}
	return api.Node{}, false
}
