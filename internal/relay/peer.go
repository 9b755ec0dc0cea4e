package relay

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/feed"
	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/internal/transport"
)

// response is the JSON body of PathChanges.
type response struct {
	Revision  int64      `json:"revision"`
	Pairs     []kv.Pair  `json:"pairs,omitempty"`     // of a full state
	Events    []kv.Event `json:"events,omitempty"`    // after the requested revision
	Compacted bool       `json:"compacted,omitempty"` // changes after the requested revision are no longer held
	// Loading, if positive, stands in place of a full state that can't be sent yet. It grows while
	// that is on its way.
	Loading int64 `json:"loading,omitempty"`
}

// readStateFromPeer reads the full state of a peer, which may wait for it. Only pauses of the
// response are bounded, not its whole time: what is sent to a process that times out is lost, and
// its next query adds to the load under which it did.
func (r *Relay) readStateFromPeer(ctx context.Context, peer feed.Member) (kv.RangeResult, error) {
	wait := r.settings.PeerLoadWait()
	var state response
	query := url.Values{parameterWait: {strconv.FormatInt(wait.Milliseconds(), 10)}}
	if r.chooser.IsWatcher() {
		query.Set(parameterWatcher, "1")
	}
	if err := r.getWithin(ctx, wait+fullReadHeaderTimeout, peer, query, &state); err != nil {
		return kv.RangeResult{}, err
	}
	if state.Loading > 0 {
		return kv.RangeResult{}, r.recordLoading(peer, state.Loading)
	}
	return kv.RangeResult{Pairs: state.Pairs, Revision: state.Revision}, nil
}

// recordLoading returns the error for a peer whose full state is on its way: errLoading if it has
// got further since its last answer. Its progress counts as this process's own, so that peers of
// this process see it too; since queries go to processes of higher rank, it never returns to its
// origin.
func (r *Relay) recordLoading(peer feed.Member, progress int64) error {
	before := r.peerProgress[peer.ID]
	r.peerProgress[peer.ID] = progress
	if progress <= before {
		return fmt.Errorf("%w: the state of %s makes no progress beyond %d", errNoContact, peer.Address, progress)
	}
	r.mirror.addProgress(1)
	return fmt.Errorf("%w: %s is at %d", errLoading, peer.Address, progress)
}

func (r *Relay) changesFromPeer(ctx context.Context, query feed.Query, revision int64) (kv.Batch, error) {
	var changes response
	err := r.getWithin(ctx, query.Wait+peerTimeoutMargin, query.Peer, url.Values{
		parameterAfter: {strconv.FormatInt(revision, 10)},
		parameterWait:  {strconv.FormatInt(query.Wait.Milliseconds(), 10)},
	}, &changes)
	if err != nil {
		return kv.Batch{}, err
	}
	if changes.Compacted {
		return kv.Batch{}, fmt.Errorf("changes from %s after revision %d: %w", query.Peer.Address, revision, kv.ErrCompacted)
	}
	return kv.Batch{Events: changes.Events, Revision: changes.Revision}, nil
}

// getWithin sends a query to a peer. The response must start within header and then proceed
// without a stall longer than stallTimeout.
func (r *Relay) getWithin(ctx context.Context, header time.Duration, peer feed.Member, query url.Values, into *response) error {
	path := PathChanges
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	err := transport.GetWithIdleTimeout(ctx, r.client, "ask for changes", peer.Address, path, header, stallTimeout, into)
	var failure *api.Error
	if errors.As(err, &failure) && failure.Code == api.CodeKeyValueUnavailable {
		return fmt.Errorf("%w: %w", errNoContact, err)
	}
	return err
}
