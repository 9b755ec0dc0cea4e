// Package relayed sends requests to processes that this one may not reach: directly, or
// through one peer that reaches them, as package detour decides. A peer forwards a request
// only to the process named in it and only under listed paths, which exclude the forwarding
// path itself, so that a request takes at most one hop.
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

// Settings are the parameters of New.
type Settings struct {
	Self           func() api.Node
	Nodes          func() []api.Node // the known processes
	ForwardedPaths []string          // HTTP paths that this process forwards for peers
	Log            *logrus.Entry
	Registry       Registerer
	// DialTimeout bounds the time to establish a connection; 0: 50 ms.
	DialTimeout time.Duration
}

// Client sends requests of this process and forwards those of its peers. It is safe for
// concurrent use.
type Client struct {
	settings Settings
	client   *http.Client
	metrics  *metrics
	slots    chan struct{} // holds a token per forwarded request

	mutex        sync.Mutex // guards all below
	paths        *detour.Paths
	peers        []api.NodeID
	peersUpdated time.Time
}

// Request is a request to a process.
type Request struct {
	Step   string // operation, for errors
	Target api.Node
	Path   string
	Body   any
	// Timeout is the timeout, over all attempts.
	Timeout time.Duration
	// Repeatable requests may be sent over several paths at once, since the process detects
	// duplicates. Others are retried only if the previous attempt certainly did not arrive.
	Repeatable bool
}

const (
	// maxForwarded bounds the requests that are forwarded concurrently. It covers the load of
	// the busiest frontend when a third of its zone sends through it.
	maxForwarded = 64
	// forwardMargin is subtracted from the timeout of a forwarded request, so that the peer can
	// still reply.
	forwardMargin = 10 * time.Millisecond
	// minAttemptTime must be left to start another attempt. With less a healthy peer could not
	// reply in time, and would be backed off from.
	minAttemptTime = forwardMargin + 10*time.Millisecond
	// peersTTL is how long the order of peers is cached, which costs a hash per process.
	peersTTL    = 250 * time.Millisecond
	connections = 2 // per process
	// dialTimeout is within the time that a request to an owner of rate limits has.
	dialTimeout        = 50 * time.Millisecond
	connectionLifetime = 30 * time.Second
	silenceLimit       = time.Second
)

// New creates a client, whose ServeHTTP must be served under Path.
func New(settings Settings) *Client {
	return &Client{
		settings: settings, metrics: newMetrics(settings.Registry), slots: make(chan struct{}, maxForwarded), paths: detour.New(),
		client: transport.NewKeepAliveClient(transport.ClientOptions{
			ConnectionsPerHost: connections, DialTimeout: cmp.Or(settings.DialTimeout, dialTimeout), IdleTimeout: connectionLifetime, KeepAliveTimeout: silenceLimit,
		}),
	}
}

// Close closes idle connections.
func (a *Client) Close() { a.client.CloseIdleConnections() }

// Isolated reports whether this process reaches none of the processes that it sends requests to
// directly.
func (a *Client) Isolated() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.paths.Isolated(clock.Now())
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	path   detour.Path
	status detour.Result
	body   json.RawMessage
	err    error
}

// Call sends a request and decodes the first answer of any attempt into answer. It returns the
// peer that forwarded the request; empty: it was sent directly. Later results only update the
// state of the paths. Errors of an *api.Error type carry what is known of the request's
// effect; if ctx ends first, its error is returned.
func (a *Client) Call(ctx context.Context, request Request, answer any) (api.NodeID, error) {
	body, err := json.Marshal(request.Body)
	if err != nil {
		return "", api.NewError(request.Step, request.Target.Address, api.CodeInternal, api.OutcomeNotRun, "encode request: %w", err)
	}
	// Other attempts go on after the first answer, since their results show which paths work.
	within, cancel := context.WithTimeout(context.WithoutCancel(ctx), request.Timeout)
	c := &call{Client: a, request: request, body: body, results: make(chan attemptResult, maxAttempts), ctx: within}
	first, err := c.run(ctx)
	go c.drain(cancel)
	if err != nil {
		a.metrics.requests.WithLabelValues("none").Inc()
		return "", err
	}
	if err := json.Unmarshal(first.body, answer); err != nil {
		return "", api.NewError(request.Step, request.Target.Address, api.CodeUpstream, api.OutcomeUnknown, "decode answer: %w", err)
	}
	a.metrics.requests.WithLabelValues(label(first.path)).Inc()
	return first.path.Relay, nil
}

func label(path detour.Path) string {
	if path.Direct() {
		return "straight"
	}
	return "peer"
}

// maxAttempts bounds the concurrent attempts of one request. It exceeds the direct one and the
// peers that detour selects.
const maxAttempts = 8

// call is a request in progress.
type call struct {
	*Client
	request  Request
	body     []byte
	results  chan attemptResult
	ctx      context.Context
	attempts *detour.Query
	started  int // attempts
	pending  int // attempts in progress
}

// run starts attempts until one is answered, none is left or the time is over.
func (r *call) run(caller context.Context) (attemptResult, error) {
	r.mutex.Lock()
	r.attempts = r.paths.Begin(clock.Now(), r.request.Target.ID, r.request.Repeatable)
	r.mutex.Unlock()
	var failed error // errors of all attempts
	more := r.startNext()
	for {
		var due <-chan time.Time
		if more && r.request.Repeatable {
			due = time.After(r.untilDue())
		}
		select {
		case result := <-r.results:
			r.record(result)
			if result.err == nil {
				return result, nil
			}
			failed = errors.Join(failed, result.err)
			if more = more && r.mayRetry(result); more {
				more = r.startNext()
			}
		case <-due:
			more = r.startNext()
		case <-r.ctx.Done():
			return attemptResult{}, errors.Join(failed, api.NewError(r.request.Step, r.request.Target.Address, api.CodeDeadline, api.OutcomeUnknown, "no answer on any path within %v", r.request.Timeout))
		case <-caller.Done():
			return attemptResult{}, caller.Err()
		}
		if r.pending == 0 && !more {
			return attemptResult{}, failed
		}
	}
}

// mayRetry reports whether another attempt may follow a failed one.
func (r *call) mayRetry(result attemptResult) bool {
	if result.status == detour.Answered {
		return false // the process itself returned the error
	}
	var failure *api.Error
	return r.request.Repeatable || errors.As(result.err, &failure) && failure.Outcome == api.OutcomeNotRun
}

func (r *call) untilDue() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return max(r.attempts.Due().Sub(clock.Now()), 0)
}

// startNext starts the next attempt and reports whether it did.
func (r *call) startNext() bool {
	if deadline, _ := r.ctx.Deadline(); r.started > 0 && time.Until(deadline) < minAttemptTime {
		return false
	}
	now := clock.Now()
	r.mutex.Lock()
	path, ok := r.attempts.Next(now, func() []api.NodeID { return r.listPeers(now) })
	r.mutex.Unlock()
	if !ok || r.pending == maxAttempts {
		return false
	}
	r.started, r.pending = r.started+1, r.pending+1
	go func() { r.results <- r.send(r.ctx, path, r.request, r.body) }()
	return true
}

// record records the result of an attempt.
func (r *call) record(result attemptResult) {
	r.pending--
	r.updatePath(r.request.Target.ID, result, func(now time.Time) bool { return r.attempts.RecordResult(now, result.path, result.status) })
}

// updatePath calls apply, which reports whether the path to target has changed, and logs a
// change.
func (a *Client) updatePath(target api.NodeID, result attemptResult, apply func(now time.Time) bool) {
	now := clock.Now()
	a.mutex.Lock()
	before := a.paths.ChangedAt(target)
	changed := apply(now)
	a.mutex.Unlock()
	if !changed {
		return
	}
	entry := a.settings.Log.WithFields(logrus.Fields{
		"event": "way_changed", "target": target, "via": result.path.Relay, "answered": result.status == detour.Answered,
	})
	if !before.IsZero() {
		entry = entry.WithField("age_ms", now.Sub(before).Milliseconds())
	}
	entry.Info("Path to a process has changed.")
}

// drain records the results of the attempts that were still running when run returned.
func (r *call) drain(cancel context.CancelFunc) {
	defer cancel()
	for r.pending > 0 {
		r.record(<-r.results)
	}
}

// listPeers returns the peers in order of preference; the mutex must be held.
func (a *Client) listPeers(now time.Time) []api.NodeID {
	if now.Sub(a.peersUpdated) > peersTTL || a.peers == nil {
		a.peers, a.peersUpdated = detour.RelayCandidates(a.settings.Self(), a.settings.Nodes()), now
	}
	return a.peers
}

// send makes one attempt.
func (a *Client) send(ctx context.Context, path detour.Path, request Request, body json.RawMessage) attemptResult {
	result := attemptResult{path: path}
	if path.Direct() {
		result.err = transport.Call(ctx, a.client, request.Step, request.Target.Address, request.Path, body, &result.body)
		result.status = resultOf(result.err)
		return result
	}
	peer, known := findNode(a.settings.Nodes(), path.Relay)
	if !known {
		result.status, result.err = detour.NoAnswer, api.NewError(request.Step, string(path.Relay), api.CodeKeyValueUnavailable, api.OutcomeNotRun, "peer is no longer a member")
		return result
	}
	deadline, _ := ctx.Deadline()
	message := ForwardRequest{Target: request.Target.ID, Path: request.Path, Body: body, Timeout: max(time.Until(deadline)-forwardMargin, 0)}
	var reply ForwardReply
	if result.err = transport.Call(ctx, a.client, request.Step, peer.Address, Path, message, &reply); result.err != nil {
		result.status = detour.NoAnswer
		return result
	}
	result.status, result.body = detour.Answered, reply.Body
	switch {
	case !reply.Reached:
		result.status = detour.Unreachable
		result.err = api.NewError(request.Step, string(path.Relay), api.CodeKeyValueUnavailable, reply.outcomeOrUnknown(), "peer does not reach %s: %s", request.Target.ID, reply.Failure)
	case reply.Failure != "":
		failure := api.NewError(request.Step, string(request.Target.ID), cmp.Or(reply.Code, api.CodeUpstream), reply.outcomeOrUnknown(), "%s", reply.Failure)
		failure.Leader = reply.Leader
		result.err = failure
	}
	return result
}

// resultOf classifies the error of a direct request for its path: an error that the process
// itself returned is an answer.
func resultOf(err error) detour.Result {
	var failure *api.Error
	if err == nil || errors.As(err, &failure) && failure.Code != api.CodeUpstream && failure.Code != api.CodeDeadline && failure.Code != api.CodeClientCancelled {
		return detour.Answered
	}
	return detour.NoAnswer
}

func findNode(nodes []api.Node, id api.NodeID) (api.Node, bool) {
	for _, node := range nodes {
		if node.ID == id {
			return node, true
		}
	}
	return api.Node{}, false
}
