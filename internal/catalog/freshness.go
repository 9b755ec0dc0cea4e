package catalog

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dykewing/dykewing/api"
)

// A watch that waits may not be told of a change. That is found out by asking
// again, which costs a call: a few processes, the sentinels, ask often and tell
// the revision that they know with their heartbeats; the others ask seldom, and
// at once when a sentinel knows more than they do.

const (
	// sentinels of a fleet.
	sentinels = 4
	// longWait is how long a call of a watch waits at other processes.
	longWait = 20 * time.Second
	// behindTick is how often revisions are compared, and behindFor how long a
	// process may know less than a sentinel before it asks: word of a change comes
	// at different moments.
	behindTick = 200 * time.Millisecond
	behindFor  = 400 * time.Millisecond
)

// errBehind ends a watch that was not told what others know.
var errBehind = errors.New("others know a later revision")

// Sentinel tells whether a node is one of the fleet's sentinels: the same few by
// every node's view.
func Sentinel(id api.NodeID, nodes []api.Node) bool {
	ids := make([]api.NodeID, 0, len(nodes))
	for _, node := range nodes {
		if !node.Suspected && !node.Leaving {
			ids = append(ids, node.ID)
		}
	}
	slices.SortFunc(ids, func(a, b api.NodeID) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
	})
	at := slices.Index(ids, id)
	return at >= 0 && at < sentinels
}

// newestOf is the latest revision that nodes tell.
func newestOf(nodes []api.Node) (revision int64) {
	for _, node := range nodes {
		revision = max(revision, node.TableRevision)
	}
	return revision
}

// behind tells for how long others have known a later revision. The zero value has
// seen nothing.
type behind struct{ since time.Time }

// see compares and tells whether it is time to ask.
func (b *behind) see(now time.Time, own, newest int64) bool {
	if newest <= own {
		b.since = time.Time{}
		return false
	}
	if b.since.IsZero() {
		b.since = now
	}
	return now.Sub(b.since) >= behindFor
}
