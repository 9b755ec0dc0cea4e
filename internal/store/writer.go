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
	maximumBatchTasks     = 8192 // of one sync
)

// task is one action of a replica that has to keep its place behind a sync.
type task struct {
	group   *group
	persist *replication.Persist
	install *position // with persist.Snapshot
	send    *replication.WireMessage
	flush   bool // write the applied state that is only in memory
}

// writer puts what all groups persist on disk, as much as waits with one sync,
// and lets go what had to wait for it. Once a write fails it lets nothing go
// until a write of the same tasks has succeeded.
type writer struct {
	database  *database
	metrics   *metrics
	failed    func(error) // told of each failure, before the next try
	recovered func()      // told when a write succeeded after a failure

	mutex   sync.Mutex // guards all below
	tasks   []task
	stopped bool
	wake    chan struct{}
	done    chan struct{}
}

func newWriter(database *database, metrics *metrics, failed func(error), recovered func()) *writer {
	return &writer{
		database: database, metrics: metrics, failed: failed, recovered: recovered,
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
}

// add queues a task; it does not block.
func (w *writer) add(added task) {
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

// stop writes what waits and returns.
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
	count := min(len(w.tasks), maximumBatchTasks)
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

// write tries until the batch is on disk. Only a full disk is tried again: after
// another error it is not known what the disk holds.
func (w *writer) write(batch []task) bool {
	for failures := 0; ; failures++ {
		err := w.commit(batch)
		if err == nil {
			if failures > 0 {
				w.recovered()
			}
			return true
		}
		w.failed(err)
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

// groupWrite is what one transaction writes of one group.
type groupWrite struct {
	group   *group
	tasks   []task
	flushed *layer
}

func (g *groupWrite) write(transaction *bbolt.Tx) error {
	records, err := openLedger(groupBucket(transaction, g.group.id))
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

// release lets go, in order, what the sync held back.
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
