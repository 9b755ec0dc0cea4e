package store

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"go.etcd.io/bbolt"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/replication"
)

const (
	fullDiskRetryInterval = time.Second
	maxBatchTasks         = 8192 // per sync
)

// task is an action of a replica that must stay in order with syncs.
type task struct {
	group   *group
	persist *replication.Persist
	install *position // set if a received snapshot is installed
	send    *replication.WireMessage
	flush   bool // flush the applied state
}

// writer persists the writes of all groups with group commit and then releases the messages
// and acknowledgements that depend on them. After a failed write it releases nothing until
// the same tasks are written.
type writer struct {
	database   *database
	metrics    *metrics
	onFailure  func(error) // called for each failure, before the next attempt
	onRecovery func()      // called when a write succeeds after failures

	mutex   sync.Mutex // guards all below
	tasks   []task
	stopped bool
	wake    chan struct{}
	done    chan struct{}
}

func newWriter(database *database, metrics *metrics, failed func(error), recovered func()) *writer {
	return &writer{
		database: database, metrics: metrics, onFailure: failed, onRecovery: recovered,
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
}

// enqueue adds a task without blocking.
func (w *writer) enqueue(added task) {
	w.mutex.Lock()
	w.tasks = append(w.tasks, added)
	w.mutex.Unlock()
	w.signal()
}

func (w *writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// stop returns once all queued tasks are written or writing has failed.
func (w *writer) stop() {
	w.mutex.Lock()
	w.stopped = true
	w.mutex.Unlock()
	w.signal()
	<-w.done
}

func (w *writer) take() (batch []task, stopped bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	count := min(len(w.tasks), maxBatchTasks)
	if w.database.hooks.syncEach {
		count = min(count, 1)
	}
	batch = w.tasks[:count:count]
	w.tasks = w.tasks[count:]
	return batch, w.stopped
}

func (w *writer) run() {
	defer close(w.done)
	for {
		batch, stopped := w.take()
		if len(batch) == 0 {
			if stopped {
				return
			}
			<-w.wake
			continue
		}
		if !w.write(batch) {
			return
		}
		w.release(batch)
	}
}

// write retries until the batch is on disk. It retries only if the disk is full; after any
// other error the state of the disk is unknown.
func (w *writer) write(batch []task) bool {
	for failures := 0; ; failures++ {
		err := w.commit(batch)
		if err == nil {
			if failures > 0 {
				w.onRecovery()
			}
			return true
		}
		w.onFailure(err)
		if !errors.Is(err, syscall.ENOSPC) || w.isStopped() {
			return false
		}
		time.Sleep(fullDiskRetryInterval)
	}
}

func (w *writer) isStopped() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.stopped
}

func (w *writer) commit(batch []task) error {
	if w.database.hooks.writeError != nil {
		if err := w.database.hooks.writeError(); err != nil {
			return err
		}
	}
	groups := map[api.GroupID]*groupWrite{}
	for _, task := range batch {
		if task.persist == nil && !task.flush {
			continue
		}
		if groups[task.group.id] == nil {
			groups[task.group.id] = &groupWrite{group: task.group}
		}
		if task.persist != nil {
			groups[task.group.id].tasks = append(groups[task.group.id].tasks, task)
		}
	}
	if len(groups) == 0 {
		return nil
	}
	started := time.Now()
	err := w.database.update(func(transaction *bbolt.Tx) error {
		for _, write := range groups {
			if err := write.write(transaction); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	w.metrics.committed(len(batch), time.Since(started))
	for _, write := range groups {
		write.group.state.flushed(write.flushed)
	}
	return nil
}

// groupWrite is the part of a transaction that belongs to one group.
type groupWrite struct {
	group   *group
	tasks   []task
	flushed *layer
}

func (g *groupWrite) write(transaction *bbolt.Tx) error {
	records, err := openSealedBucket(groupBucket(transaction, g.group.id))
	if err != nil {
		return err
	}
	for _, task := range g.tasks {
		if err := writePersist(records, *task.persist, task.install); err != nil {
			return err
		}
	}
	if g.flushed, err = g.group.state.flush(records); err != nil {
		return err
	}
	return records.close()
}

// release carries out, in order, what depends on the sync.
func (w *writer) release(batch []task) {
	for _, task := range batch {
		switch {
		case task.send != nil:
			task.group.transmit(*task.send)
		case task.persist != nil:
			task.group.persisted(task)
		}
	}
}
