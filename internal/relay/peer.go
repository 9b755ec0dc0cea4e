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

// answer is the body of PathChanges.
type answer struct {
	Revision  int64      `json:"revision"`
	Pairs     []kv.Pair  `json:"pairs,omitempty"`     // of a whole state
	Events    []kv.Event `json:"events,omitempty"`    // after the revision that was asked for
	Compacted bool       `json:"compacted,omitempty"` // changes after it are forgotten here
}

// wholeOf reads a peer's whole state. It may take as long as bytes come: a bound on the whole
// was passed again and again by processes with a fifth of a core once there were 10,000
// workers, and each try loaded the watchers anew.
func (r *Relay) wholeOf(ctx context.Context, peer feed.Member) (kv.RangeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, longestWhole)
	defer cancel()
	var state answer
	if err := r.get(ctx, peer, url.Values{}, &state); err != nil {
		return kv.RangeResult{}, err
	}
	return kv.RangeResult{Pairs: state.Pairs, Revision: state.Revision}, nil
}

func (r *Relay) changesOf(ctx context.Context, question feed.Question, revision int64) (kv.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, question.Wait+longestWhole)
	defer cancel()
	var changes answer
	err := r.getWithin(ctx, question.Wait+peerGrace, question.Peer, url.Values{
		parameterAfter: {strconv.FormatInt(revision, 10)},
		parameterWait:  {strconv.FormatInt(question.Wait.Milliseconds(), 10)},
	}, &changes)
	if err != nil {
		return kv.Batch{}, err
	}
	if changes.Compacted {
		return kv.Batch{}, fmt.Errorf("changes from %s after %d: %w", question.Peer.Address, revision, kv.ErrCompacted)
	}
	return kv.Batch{Events: changes.Events, Revision: changes.Revision}, nil
}

func (r *Relay) get(ctx context.Context, peer feed.Member, query url.Values, into *answer) error {
	return r.getWithin(ctx, wholeHead, peer, query, into)
}

// getWithin asks a peer. Its answer is to begin within head, and then to go on without a
// pause over mostPause.
func (r *Relay) getWithin(ctx context.Context, head time.Duration, peer feed.Member, query url.Values, into *answer) error {
	path := PathChanges
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	err := transport.GetSteadily(ctx, r.client, "ask for changes", peer.Address, path, head, mostPause, into)
	var failure *api.Error
	if errors.As(err, &failure) && failure.Code == api.CodeNoContact {
		return fmt.Errorf("%w: %w", errBehind, err)
	}
	return err
}
