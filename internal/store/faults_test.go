package store

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/jobs"
)

func TestFullDiskRejectsNewWorkButCompletesExisting(t *testing.T) {
	c := newCluster(t, 1, nil)
	c.stopAll()
	var free atomic.Uint64
	free.Store(1 << 40)
	c.hooks = hooks{freeBytes: func() (uint64, error) { return free.Load(), nil }}
	c.machines[0].start()
	m := c.awaitLeader()
	c.createAll(0, 3)
	free.Store(1)
	m.store.space.check()
	err := c.create(t.Context(), 3)
	failure := api.AsError("", err)
	if err == nil || failure.Code != api.CodeDiskFull || failure.Outcome != api.OutcomeNotRun {
		t.Fatalf("creating a file on a full disk: %v, outcome %s", err, failure.Outcome)
	}
	c.requireEventually(func(ctx context.Context) error {
		_, err := c.client.Command(ctx, 0, jobs.Command{SealFile: &jobs.SealFile{File: fileID(0)}})
		return err
	})
	free.Store(1 << 40)
	m.store.space.check()
	c.createAll(3, 1)
	c.requireFiles(4)
}

// A store that can't write must acknowledge nothing, and another store must take over.
func TestWriteFailureMovesLeadership(t *testing.T) {
	for name, cause := range map[string]error{"full disk": syscall.ENOSPC, "broken disk": syscall.EIO} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3, nil)
			c.awaitLeader()
			c.createAll(0, 5)
			c.stopAll()
			var failing atomic.Pointer[testMachine]
			for _, m := range c.machines {
				c.hooks = hooks{writeError: func() error {
					if failing.Load() == m {
						return cause
					}
					return nil
				}}
				m.start()
			}
			leader := c.awaitLeader()
			failing.Store(leader)
			c.createAll(5, 10)
			c.await("another leader", func() bool { return c.leader() != nil && c.leader() != leader })
			c.requireFiles(15)
			if errors.Is(cause, syscall.ENOSPC) {
				failing.Store(nil)
				c.awaitMembers(c.machines...)
				return
			}
			if err := leader.end(); !errors.Is(err, cause) {
				t.Fatalf("store with a broken disk ended with %v", err)
			}
		})
	}
}
