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
}

// readStateFromPeer reads the full state of a peer. Besides the overall bound only stalls are
// bounded: with a tight one, processes with a fifth of a core timed out again and again at
// 10,000 workers, and each repeated read loaded the watchers.
func (r *Relay) readStateFromPeer(ctx context.Context, peer feed.Member) (kv.RangeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	var state response
	if err := r.get(ctx, peer, url.Values{}, &state); err != nil {
		return kv.RangeResult{}, err
	}
	return kv.RangeResult{Pairs: state.Pairs, Revision: state.Revision}, nil
}

func (r *Relay) changesFromPeer(ctx context.Context, query feed.Query, revision int64) (kv.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, query.Wait+transferTimeout)
	defer cancel()
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

func (r *Relay) get(ctx context.Context, peer feed.Member, query url.Values, into *response) error {
	return r.getWithin(ctx, fullReadHeaderTimeout, peer, query, into)
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
