package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"go.etcd.io/bbolt"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/replication"
)

const (
	headerPosition  = "Dykewing-Position" // JSON position of the snapshot's state
	headerAtLeast   = "Dykewing-At-Least" // minimum log index of the state
	deleteBatchSize = 2000                // records deleted per transaction
)

var errSnapshotBehind = errors.New("the peer's state is older than the snapshot")

// snapshotTransfers are the snapshot streams of one group. cancel, done and staged are used by
// the actor only.
type snapshotTransfers struct {
	serving atomic.Int32 // streams being sent; while above 0 the log is not compacted
	cancel  context.CancelFunc
	done    chan struct{}
	staged  position
}

// readOnlyStorage is a read-only jobs.Storage over one version of the state.
type readOnlyStorage struct{ version *version }

func (s readOnlyStorage) View(read func(jobs.Reader) error) error {
	if err := read(s.version); err != nil {
		return err
	}
	return s.version.failure
}

func (s readOnlyStorage) Update(func(jobs.Writer) error) error {
	return errors.New("read-only storage can't be updated")
}

// serveSnapshot streams a consistent version of the applied state with its position.
func serveSnapshot(w http.ResponseWriter, r *http.Request, group *group) {
	const step = "send snapshot"
	group.snapshots.serving.Add(1)
	defer group.snapshots.serving.Add(-1)
	version, err := group.state.begin()
	if err != nil {
		transport.WriteError(w, api.AsError(step, err))
		return
	}
	defer version.end()
	at, err := json.Marshal(version.position)
	if err != nil {
		transport.WriteError(w, api.AsError(step, err))
		return
	}
	var least uint64
	if _, err := fmt.Sscan(r.Header.Get(headerAtLeast), &least); err != nil || version.position.Index < least {
		transport.WriteError(w, api.NewError(step, "", api.CodeConflict, api.OutcomeNotRun, "the state here ends at %d", version.position.Index))
		return
	}
	state, err := jobs.OpenState(readOnlyStorage{version})
	if err != nil {
		transport.WriteError(w, api.AsError(step, err))
		return
	}
	w.Header().Set(headerPosition, string(at))
	w.Header().Set("Content-Type", "application/octet-stream")
	if _, err := state.WriteSnapshot(w); err != nil {
		group.log.WithError(err).Warn("Sending a snapshot failed.")
	}
}

// fetchSnapshot stages the state of another replica in the background; called by the actor.
// The state machine installs it by a replication.Persist that resets the log.
func (g *group) fetchSnapshot(fetch replication.FetchSnapshot) {
	previous := g.snapshots.done
	if g.snapshots.cancel != nil {
		g.snapshots.cancel()
	}
	ctx, cancel := context.WithCancel(g.ctx)
	done := make(chan struct{})
	g.snapshots.cancel, g.snapshots.done = cancel, done
	generation := g.state.position().Generation + 1
	go func() {
		defer close(done)
		defer cancel()
		if previous != nil {
			<-previous
		}
		at, err := g.stage(ctx, fetch, generation)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			g.log.WithError(err).Warn("Fetching a snapshot failed; retrying.")
		} else {
			g.metrics.snapshots.Inc()
		}
		g.tell(stagedSnapshot{
			SnapshotFetched: replication.SnapshotFetched{Index: fetch.Snapshot.Index, Term: fetch.Snapshot.Term, Err: err},
			at:              at,
		})
	}()
}

// stagedSnapshot passes the position of a staged state to the actor along with the state
// machine's message.
type stagedSnapshot struct {
	replication.SnapshotFetched
	at position
}

// stage reads a snapshot stream into a new generation, in bounded transactions.
func (g *group) stage(ctx context.Context, fetch replication.FetchSnapshot, generation uint64) (position, error) {
	var at position
	address, ok := g.peers.address(time.Now(), fetch.From)
	if !ok {
		return at, fmt.Errorf("fetch snapshot: no known address of replica %s", fetch.From)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s%d/snapshot", address, api.PathGroups, g.id), nil)
	if err != nil {
		return at, err
	}
	request.Header.Set(headerAtLeast, fmt.Sprint(fetch.Snapshot.Index))
	response, err := g.sender.client.Do(request)
	if err != nil {
		return at, transport.SendError("fetch snapshot", address, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return at, transport.ReadError("fetch snapshot", address, response)
	}
	if err := json.Unmarshal([]byte(response.Header.Get(headerPosition)), &at); err != nil {
		return at, fmt.Errorf("fetch snapshot from %s: position: %w", address, err)
	}
	if at.Index < fetch.Snapshot.Index {
		return at, errSnapshotBehind
	}
	at.Generation = generation
	_, err = jobs.ReadSnapshot(&staging{database: g.database, group: g.id, generation: generation}, response.Body)
	return at, err
}

// install makes a staged state the applied one; called by the actor.
func (g *group) install(at position) *position {
	g.state.install(at)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	state, err := jobs.OpenState(g.state)
	if err != nil {
		g.reportFailure(fmt.Errorf("open fetched state of group %d: %w", g.id, err))
		return &at
	}
	g.jobs = state
	return &at
}

// staging is a jobs.Storage on disk for a generation that is not current yet; each Update is
// one transaction.
type staging struct {
	database   *database
	group      api.GroupID
	generation uint64
}

func (s *staging) View(read func(jobs.Reader) error) error {
	return s.database.bolt.View(func(transaction *bbolt.Tx) error {
		return read(s.version(transaction))
	})
}

func (s *staging) version(transaction *bbolt.Tx) *version {
	return &version{bucket: groupBucket(transaction, s.group), position: position{Generation: s.generation}}
}

func (s *staging) Update(change func(jobs.Writer) error) error {
	return s.database.update(func(transaction *bbolt.Tx) error {
		records, err := openSealedBucket(groupBucket(transaction, s.group))
		if err != nil {
			return err
		}
		writes := newLayer(position{Generation: s.generation})
		version := s.version(transaction)
		version.layers = append(version.layers, writes.tree)
		if err := change(version); err != nil {
			return err
		}
		if err := errors.Join(version.failure, writes.writeRecords(records)); err != nil {
			return err
		}
		return records.close()
	})
}

// removeOldGenerations removes replaced and never installed generations before kept, in
// bounded transactions.
func (g *group) removeOldGenerations(kept uint64) error {
	if g.removedBefore == kept+1 {
		return nil
	}
	for more := true; more; {
		err := g.database.update(func(transaction *bbolt.Tx) (err error) {
			records, err := openSealedBucket(groupBucket(transaction, g.id))
			if err != nil {
				return err
			}
			if more, err = removeGenerationsBefore(records, kept); err != nil {
				return err
			}
			return records.close()
		})
		if err != nil {
			return err
		}
	}
	g.removedBefore = kept + 1
	return nil
}

func removeGenerationsBefore(records *sealedBucket, kept uint64) (more bool, err error) {
	end := generationPrefix(kept)
	cursor := records.bucket.Cursor()
	var keys [][]byte
	for key, _ := cursor.Seek([]byte{prefixState}); key != nil && string(key) < string(end); key, _ = cursor.Next() {
		if len(keys) == deleteBatchSize {
			more = true
			break
		}
		keys = append(keys, append([]byte(nil), key...))
	}
	for _, key := range keys {
		if err := records.remove(key); err != nil {
			return false, err
		}
	}
	return more, nil
}
