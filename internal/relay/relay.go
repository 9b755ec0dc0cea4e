// Package relay brings the state of the platform's key-value service and its changes
// to all processes of a fleet with few calls: it asks where package feed says, and
// answers other processes from what this one has been told by the service itself.
package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/feed"
	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/internal/pause"
	"github.com/dykewing/dykewing/internal/transport"
)

// PathChanges is where a process tells others of its zone what the service told it.
const PathChanges = "/internal/changes"

// Names of a question's parameters.
const (
	parameterAfter = "after"   // a revision; without it the whole state is asked for
	parameterWait  = "wait_ms" // for how long there may be no answer
)

const (
	// peerGrace is added to what a peer may wait, for the way and its processor.
	peerGrace = 300 * time.Millisecond
	// wholeHead is until a peer begins to tell its whole state, which it may have to encode
	// first; mostPause between two pieces of an answer that has begun. A peer that is lost
	// says nothing for longer.
	wholeHead = time.Second
	mostPause = time.Second
	// longestWhole bounds an answer whatever comes: 8 MB over a link of 30 Mbit/s, four
	// times over.
	longestWhole = 10 * time.Second
	// Pauses after word of changes, where a process asks for itself: many changes in
	// a row, as when all workers of a fleet start, come with a few calls instead of
	// one each. The pause doubles while there are changes each time, within what a
	// change may take.
	firstGatherPause = 400 * time.Millisecond
	lastGatherPause  = time.Second
	// peerConnections to each peer: one question and one whole state.
	peerConnections  = 2
	peerDialTimeout  = 300 * time.Millisecond
	peerIdleLifetime = 30 * time.Second
)

// Service is a key-value service that can be asked once for changes of all keys.
type Service interface {
	kv.Service
	// Poll gives the changes of all keys after a revision; one without events when
	// there is none within wait.
	Poll(ctx context.Context, prefix string, revision int64, wait time.Duration) (kv.Batch, error)
	// RangeOnce reads a prefix in one call, and tells whether that was all of it.
	RangeOnce(ctx context.Context, prefix string) (result kv.RangeResult, whole bool, err error)
}

// Relay is the service with watches and whole reads shared among processes; every
// other call goes to the service.
type Relay struct {
	Service
	settings feed.Settings
	log      *logrus.Entry
	members  func() []feed.Member
	client   *http.Client
	mirror   *mirror
	told     told
	// Joined tells whether this process knows the others of its zone; nil: at once.
	Joined func() bool
	// CheckKey is read to learn the service's revision where its watches are silent; empty:
	// it is not asked.
	CheckKey string
	// Abroad are the processes of other zones that may be watchers there, by zone; nil: none
	// are known.
	Abroad func() [][]feed.Member
	asked  *prometheus.CounterVec

	// Only Range and Watch of all keys use these, one after the other.
	chooser *feed.Chooser
	source  string // where the last answer came from
	joined  bool   // it was waited for, see Joined
}

// New gives a relay before service. members are the processes of the zone that can
// be asked, this one among them.
func New(service Service, settings feed.Settings, members func() []feed.Member, log *logrus.Entry) *Relay {
	return &Relay{
		Service: service, settings: settings, log: log, members: members, mirror: newMirror(), chooser: feed.New(settings),
		client: transport.NewProbingClient(transport.Options{
			ConnectionsPerHost: peerConnections, DialTimeout: peerDialTimeout, IdleLifetime: peerIdleLifetime, SilenceLimit: settings.Fresh, Compressed: true,
		}),
		asked: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dykewing_feed_questions_total", Help: "Questions for changes of the key-value service, by whom they went to and how they ended.",
		}, []string{"source", "outcome"}),
	}
}

// Metrics are for the process's registry.
func (r *Relay) Metrics() prometheus.Collector { return r.asked }

// Withdraw lets others ask elsewhere; at the begin of a planned stop.
func (r *Relay) Withdraw() { r.mirror.withdraw() }

// Range reads a prefix; the state of all keys comes from a watcher where there is one.
func (r *Relay) Range(ctx context.Context, prefix string) (kv.RangeResult, error) {
	if prefix != "" {
		return r.Service.Range(ctx, prefix)
	}
	if result, ok := r.smallOfService(ctx); ok {
		return result, nil
	}
	r.awaitJoined(ctx)
	for ctx.Err() == nil {
		r.lookAround()
		question := r.chooser.Whole(clock.Now())
		pause.For(ctx, min(clock.Until(question.NotBefore), lookAgain))
		if clock.Until(question.NotBefore) > 0 {
			continue
		}
		if question.OfService() {
			return r.wholeOfService(ctx)
		}
		result, err := r.wholeOf(ctx, question.Peer)
		if known := r.mirror.after(0).revision; err == nil && result.Revision < known {
			err = fmt.Errorf("%w: %s knows revision %d, this process %d", errOlder, question.Peer.Address, result.Revision, known)
		}
		r.ended(question, result.Revision, err)
		if err == nil {
			r.mirror.reset(result, false, clock.Now())
			return result, nil
		}
	}
	return kv.RangeResult{}, ctx.Err()
}

// lookAgain is after how long a process that waits for its next question sees whether its
// zone has changed meanwhile.
const lookAgain = 200 * time.Millisecond

// wholeOfService reads the whole state from the service. Invariant: only the chooser's word
// leads here. A peer that failed was followed by the service at once: at a start all
// processes read all pages in the same moment, before their watchers had.
func (r *Relay) wholeOfService(ctx context.Context) (kv.RangeResult, error) {
	result, err := r.Service.Range(ctx, "")
	r.ended(feed.Question{}, result.Revision, err)
	if err == nil {
		r.mirror.reset(result, true, clock.Now())
	}
	return result, err
}

// Watch delivers changes of all keys after a revision until the service itself fails
// or changes are missed; the watchers' failures are followed by other questions.
func (r *Relay) Watch(ctx context.Context, prefix string, revision int64, deliver func(kv.Batch)) error {
	if prefix != "" {
		return r.Service.Watch(ctx, prefix, revision, deliver)
	}
	gather, behind := firstGatherPause, false
	for {
		r.lookAround()
		if r.mirror.lacks() {
			return fmt.Errorf("%w: %w", errUntold, kv.ErrCompacted)
		}
		question := r.chooser.Next(clock.Now())
		pause.For(ctx, clock.Until(question.NotBefore))
		if ctx.Err() != nil {
			return ctx.Err()
		}
		batch, err := r.ask(ctx, question, revision)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		forgotten := errors.Is(err, kv.ErrCompacted) && question.OfService()
		if forgotten && r.chooser.Follows() {
			err = fmt.Errorf("%w: %w", errBehind, err)
		}
		r.ended(question, batch.Revision, err)
		if forgotten && r.chooser.Follows() && !behind {
			behind = true // its watchers read the state; it asks them for the changes first
			continue
		}
		if forgotten {
			batch, err = r.awaitTeller(ctx, revision, err)
		}
		if errors.Is(err, kv.ErrCompacted) || err != nil && question.OfService() {
			return err
		}
		if err != nil {
			continue
		}
		revision, behind = max(revision, batch.Revision), false
		deliver(batch)
		if forgotten {
			r.proveContact(ctx, revision) // others count on this one's own
			continue
		}
		gather = r.gather(ctx, question, len(batch.Events) > 0, gather)
	}
}

// lookAround takes the members of the zone as they are known now, and keeps state for
// others where these ask this process.
func (r *Relay) lookAround() {
	if r.Abroad != nil {
		r.chooser.Abroad(r.Abroad())
	}
	r.chooser.Members(r.members())
	keeps := r.chooser.Keeps()
	r.mirror.keep(keeps, clock.Now())
	if !keeps {
		r.told.forget()
	}
}

// errUntold says that others may ask this process from now on, and that it has kept
// nothing that it could tell.
var errUntold = errors.New("this process is to tell others the whole state")

// silentPart of its wait beyond it a question to the service is taken for one that is told
// nothing: 250 ms, some round trips of a slow service, where a change has 5 s. With the
// wait and the pause before it this stays within feed.Settings.Fresh.
const silentPart = 6

// poll asks the service for changes. Where it says nothing in its time, it is asked for the
// revision at which it stands, with CheckKey: it may have lost its watches and answer all
// else. The same revision proves contact; a later one says that changes were missed.
func (r *Relay) poll(ctx context.Context, revision int64, wait time.Duration) (kv.Batch, error) {
	if r.CheckKey == "" || !r.chooser.Watching() {
		return r.Poll(ctx, "", revision, wait)
	}
	type ended struct {
		batch kv.Batch
		err   error
	}
	asked, cancel := context.WithCancel(ctx)
	defer cancel()
	polled := make(chan ended, 1)
	go func() {
		batch, err := r.Poll(asked, "", revision, wait)
		polled <- ended{batch, err}
	}()
	timer := time.NewTimer(wait + wait/silentPart)
	defer timer.Stop()
	select {
	case end := <-polled:
		return end.batch, end.err
	case <-timer.C:
	}
	at, err := r.standsAt(ctx)
	switch {
	case err != nil:
		end := <-polled
		return end.batch, end.err
	case at > revision:
		return kv.Batch{}, fmt.Errorf("the service tells no changes and stands at %d after %d: %w", at, revision, kv.ErrCompacted)
	}
	return kv.Batch{Revision: revision}, nil
}

// proveContact asks the service for its revision after others told this process what it
// missed. Where it stands there, this one may tell others at once: without it a zone had no
// word from its watchers until their next question ended, 1.75 s later, and turned to the
// service.
func (r *Relay) proveContact(ctx context.Context, revision int64) {
	if r.CheckKey == "" {
		return
	}
	if at, err := r.standsAt(ctx); err == nil && at <= revision {
		r.mirror.apply(kv.Batch{Revision: revision}, true, clock.Now())
	}
}

// standsAt asks the service for its revision.
func (r *Relay) standsAt(ctx context.Context) (int64, error) {
	_, at, err := r.Service.Read(ctx, r.CheckKey)
	return at, err
}

// awaitTeller waits, where the service has forgotten its history, until the watcher that
// tells this one has read the whole state. It may have changes that this one missed; else
// the error stays.
func (r *Relay) awaitTeller(ctx context.Context, revision int64, forgotten error) (kv.Batch, error) {
	teller, ok := r.chooser.Teller(clock.Now())
	if !ok {
		return kv.Batch{}, forgotten
	}
	question := feed.Question{Peer: teller, Wait: r.settings.Fresh}
	batch, err := r.changesOf(ctx, question, revision)
	r.ended(question, batch.Revision, err)
	if err != nil || batch.Revision <= revision {
		return kv.Batch{}, forgotten
	}
	r.mirror.apply(batch, false, clock.Now())
	return batch, nil
}

// ask puts one question; what is learned goes into the mirror.
func (r *Relay) ask(ctx context.Context, question feed.Question, revision int64) (kv.Batch, error) {
	if question.OfService() {
		batch, err := r.poll(ctx, revision, question.Wait)
		if err == nil {
			r.mirror.apply(batch, true, clock.Now())
		}
		return batch, err
	}
	batch, err := r.changesOf(ctx, question, revision)
	if err == nil {
		r.mirror.apply(batch, false, clock.Now())
	}
	return batch, err
}

// gather pauses after word of changes from the service, and gives the next pause.
func (r *Relay) gather(ctx context.Context, question feed.Question, changed bool, next time.Duration) time.Duration {
	if !changed || !question.OfService() {
		return firstGatherPause
	}
	if r.chooser.Shared() {
		pause.For(ctx, r.settings.GatherPause())
		return firstGatherPause
	}
	pause.For(ctx, next)
	return min(2*next, lastGatherPause)
}

// errBehind says that a peer has no contact with the service.
var errBehind = errors.New("the peer has no contact with the service")

// errOlder says that a peer's state is older than what is known here: workers that have
// left would be listed again.
var errOlder = errors.New("the peer's state is an older one")

// ended tells the chooser how a question ended and logs another source.
func (r *Relay) ended(question feed.Question, revision int64, err error) {
	outcome, label := feed.Unreachable, "failed"
	switch {
	case errors.Is(err, errBehind) || errors.Is(err, errOlder):
		outcome, label = feed.Behind, "behind"
	case err == nil || errors.Is(err, kv.ErrCompacted):
		outcome, label = feed.Answered, "answered"
	}
	r.chooser.Ended(clock.Now(), question, outcome)
	kind, name := "peer", string(question.Peer.ID)
	if question.OfService() {
		kind, name = "service", "service"
	}
	r.asked.WithLabelValues(kind, label).Inc()
	if outcome != feed.Answered && !question.OfService() {
		r.log.WithFields(logrus.Fields{"event": "feed_failed", "source": name, "outcome": label}).WithError(err).Info("A watcher does not tell changes; asking elsewhere.")
		return
	}
	if outcome == feed.Answered && r.source != name {
		r.log.WithFields(logrus.Fields{
			"event": "feed_source", "source": name, "before": r.source, "revision": revision, "watching": r.chooser.Watching(),
		}).Info("Changes come from another source.")
		r.source = name
	}
}
