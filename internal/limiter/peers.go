package limiter

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/internal/relayed"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/ratelimit"
	"github.com/dykewing/dykewing/route"
)

// PathPeerTokens takes a PeerRequest by POST and answers with a PeerGrant.
const PathPeerTokens = "/internal/v1/limits/peer-tokens"

// PeerRequest asks another frontend for tokens that it holds in reserve.
type PeerRequest struct {
	Tenant string          `json:"tenant"`
	Limit  route.RateLimit `json:"limit"`
	Tokens int             `json:"tokens"`
}

// PeerGrant is the response to a PeerRequest.
type PeerGrant struct {
	Tokens int `json:"tokens"` // 0 to the number requested
	// OwnerAnswers reports whether the tenant's owner has answered the peer lately.
	OwnerAnswers bool `json:"owner_answers"`
}

// localDecisions counts decisions without an owner.
type localDecisions struct {
	admitted, rejected, fromPeers int
	loggedAt                      time.Time
}

// ServeHTTP gives tokens to a peer that no owner answers.
func (l *Limiter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request PeerRequest
	if failure := transport.ReadJSON(w, r, "read question for tokens", maxRequestBytes, &request); failure != nil {
		transport.WriteError(w, failure)
		return
	}
	if failure := check(ratelimit.TokenRequest{Tenant: request.Tenant, Limit: request.Limit, Tokens: request.Tokens}); failure != nil {
		transport.WriteError(w, failure)
		return
	}
	l.mutex.Lock()
	now := clock.Now()
	given := l.holder.GiveTokens(now, request.Tenant, request.Limit, request.Tokens)
	answeredAt, known := l.answered[l.domain(request.Tenant)]
	l.mutex.Unlock()
	transport.WriteJSON(w, http.StatusOK, PeerGrant{Tokens: given, OwnerAnswers: known && now.Sub(answeredAt) < ownerRecent})
}

// decideWithoutOwner decides about the waiting requests with the tokens of this process and of
// a few peers.
func (l *Limiter) decideWithoutOwner(tenant string) {
	l.mutex.Lock()
	q := l.waiting[tenant]
	l.mutex.Unlock()
	if len(l.settings.Owners(tenant)) == 0 && clock.Since(l.startedAt) >= ownersKnownAfter {
		l.leaseEvenly(q)
	}
	left, limit := l.decideLocally(q)
	peersWithout, peersWith := 0, 0 // an owner that answers
	for _, peer := range l.choosePeers(left) {
		if left == 0 {
			break
		}
		sentAt := clock.Now()
		grant, err := l.askPeer(peer, PeerRequest{Tenant: tenant, Limit: limit, Tokens: left})
		l.markPeer(peer.ID, err == nil)
		if err != nil || clock.Since(sentAt) >= ratelimit.GrantTTL {
			continue
		}
		if grant.OwnerAnswers {
			peersWith++
		} else {
			peersWithout++
		}
		left = l.distributeFromPeer(q, grant, sentAt)
	}
	l.rejectAll(tenant, peersWithout > peersWith)
}

// leaseEvenly is for a fleet without stores.
func (l *Limiter) leaseEvenly(q *queue) {
	holders := len(l.settings.Peers()) + 1
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.holder.LeaseEvenly(clock.Now(), q.tenant.Name, q.tenant.Limit, holders)
}

// decideLocally admits waiting requests while this process has tokens, and returns how many are
// left.
func (l *Limiter) decideLocally(q *queue) (left int, limit route.RateLimit) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := clock.Now()
	for len(q.waiters) > 0 {
		verdict := l.holder.DecideLocally(now, q.tenant.Name, q.tenant.Limit)
		if verdict.Decision != ratelimit.Admit {
			break
		}
		l.local.admitted++
		l.answerFirst(q, resultOf(verdict))
	}
	return len(q.waiters), q.tenant.Limit
}

// answerFirst answers the longest waiting request; the mutex must be held.
func (l *Limiter) answerFirst(q *queue, result Result) {
	l.metrics.count(result, "alone")
	q.waiters[0].result <- result
	q.waiters = q.waiters[1:]
}

// markPeer records whether a peer answered.
func (l *Limiter) markPeer(peer api.NodeID, answered bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if answered {
		l.holder.MarkResponsive(string(peer))
		return
	}
	l.holder.MarkUnresponsive(clock.Now(), string(peer))
}

// choosePeers returns peers to ask, in random order; none if nothing is left to ask for.
func (l *Limiter) choosePeers(left int) []api.Node {
	if left == 0 {
		return nil
	}
	now := clock.Now()
	l.mutex.Lock()
	peers := slices.DeleteFunc(l.settings.Peers(), func(peer api.Node) bool { return !l.holder.Available(now, string(peer.ID)) })
	l.mutex.Unlock()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), ratelimit.MaxPeersAsked)]
}

func (l *Limiter) askPeer(peer api.Node, request PeerRequest) (grant PeerGrant, err error) {
	_, err = l.settings.Client.Call(context.Background(), relayed.Request{
		Step: "ask a peer for tokens", Target: peer, Path: PathPeerTokens, Body: request, Timeout: peerTimeout,
	}, &grant)
	return grant, err
}

func (l *Limiter) distributeFromPeer(q *queue, grant PeerGrant, sentAt time.Time) (left int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for range min(grant.Tokens, len(q.waiters)) {
		l.local.fromPeers++
		l.answerFirst(q, Result{Admitted: true, TokenAt: sentAt})
	}
	return len(q.waiters)
}

// rejectAll rejects the requests that still wait and ends the queue. everywhere tells that peers
// have no owner either.
func (l *Limiter) rejectAll(tenant string, everywhere bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := clock.Now()
	if everywhere {
		l.awaited[tenant] = now.Add(ownerWait)
	}
	q := l.waiting[tenant]
	for len(q.waiters) > 0 {
		l.local.rejected++
		l.answerFirst(q, Result{OwnerIn: l.ownerIn(now, tenant)})
	}
	delete(l.waiting, tenant)
	l.logLocal(now, q)
}

// ownerIn returns the time until the tenant is expected to have an owner. Callers are spread
// over retrySpread, since a new owner's bucket is empty. The mutex must be held.
func (l *Limiter) ownerIn(now time.Time, tenant string) time.Duration {
	at, awaited := l.awaited[tenant]
	if !awaited || !now.Before(at) {
		return 0
	}
	return at.Sub(now) + time.Duration(rand.Int64N(int64(retrySpread)))
}

// logLocal logs decisions without an owner, at most once per localLogInterval; the mutex must
// be held.
func (l *Limiter) logLocal(now time.Time, q *queue) {
	if now.Sub(l.local.loggedAt) < localLogInterval {
		return
	}
	l.settings.Log.WithFields(logrus.Fields{
		"event": "limit_local", "tenant": q.tenant.Name, "rate": q.tenant.Limit.Rate, "burst": q.tenant.Limit.Burst, "version": q.version,
		"admitted": l.local.admitted, "from_peers": l.local.fromPeers, "rejected": l.local.rejected,
	}).Info("No owner of a tenant's limit answered; requests were decided locally. The counts cover all tenants since the last such line.")
	l.local = localDecisions{loggedAt: now}
}
