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
	headerPosition = "Dykewing-Position" // JSON position of a snapshot's state
	headerAtLeast  = "Dykewing-At-Least" // index that the state must have reached
	deletedAtOnce  = 2000                // records of an old state in one transaction
)

var errSnapshotBehind = errors.New("the peer's state is older than the snapshot")

// snapshotTransfers are the streams of one group. Actor and fetch alone use
// cancel and staged, in turn.
type snapshotTransfers struct {
	serving atomic.Int32 // while above 0 the log is not compacted
	cancel  context.CancelFunc
	done    chan struct{}
	staged  position
}

// frozen is a version of the state as a storage that never changes.
type frozen struct{ version *version }

func (f frozen) View(read func(jobs.Reader) error) error {
	if err := read(f.version); err != nil {
		return err
	}
	return f.version.failure
}

func (f frozen) Update(func(jobs.Writer) error) error {
	return errors.New("a frozen state can't change")
}

// serveSnapshot streams the applied state of one moment with its position.
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
	state, err := jobs.OpenState(frozen{version})
	if err != nil {
		transport.WriteError(w, api.AsError(step, err))
		return
	}
	w.Header().Set(headerPosition, string(at))
	w.Header().Set("Content-Type", "application/octet-stream")
	if _, err := state.WriteSnapshot(w); err != nil {
		group.log.WithError(err).Warn("A snapshot broke off.")
	}
}

// fetchSnapshot stages the state of another replica; called by the actor. The
// machine puts it in force by a Persist with Reset.
func (g *group) fetchSnapshot(asked replication.FetchSnapshot) {
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
		at, err := g.stage(ctx, asked, generation)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			g.log.WithError(err).Warn("A snapshot could not be fetched; it is asked for again.")
		} else {
			g.metrics.snapshots.Inc()
		}
		g.tell(stagedSnapshot{
			SnapshotFetched: replication.SnapshotFetched{Index: asked.Snapshot.Index, Term: asked.Snapshot.Term, Err: err},
			at:              at,
		})
	}()
}

// stagedSnapshot brings the position of a staged state to the actor together
// with the machine's message.
type stagedSnapshot struct {
	replication.SnapshotFetched
	at position
}

// stage reads a stream into a generation of its own, in bounded pieces.
func (g *group) stage(ctx context.Context, asked replication.FetchSnapshot, generation uint64) (position, error) {
	var at position
	address, ok := g.peers.address(time.Now(), asked.From)
	if !ok {
		return at, fmt.Errorf("fetch snapshot: the address of replica %s is not known", asked.From)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s%d/snapshot", address, api.PathGroups, g.id), nil)
	if err != nil {
		return at, err
	}
	request.Header.Set(headerAtLeast, fmt.Sprint(asked.Snapshot.Index))
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
	if at.Index < asked.Snapshot.Index {
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
		g.stopOn(fmt.Errorf("open fetched state of group %d: %w", g.id, err))
		return &at
	}
	g.jobs = state
	return &at
}

// staging is a storage on disk beside the state in force; each Update is one
// bounded transaction.
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
		records, err := openLedger(groupBucket(transaction, s.group))
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

// dropOldStates removes, in bounded pieces, states that were replaced or never
// came in force.
func (g *group) dropOldStates(kept uint64) error {
	if g.dropped == kept+1 {
		return nil
	}
	for more := true; more; {
		err := g.database.update(func(transaction *bbolt.Tx) (err error) {
			records, err := openLedger(groupBucket(transaction, g.id))
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
	g.dropped = kept + 1
	return nil
}

func removeGenerationsBefore(records *ledger, kept uint64) (more bool, err error) {
	end := generationPrefix(kept)
	cursor := records.bucket.Cursor()
	var keys [][]byte
	for key, _ := cursor.Seek([]byte{prefixState}); key != nil && string(key) < string(end); key, _ = cursor.Next() {
		if len(keys) == deletedAtOnce {
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
