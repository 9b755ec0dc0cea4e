package store

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/replication"
)

const (
	spaceInterval      = time.Second
	diskFullRetryAfter = 30 * time.Second
)

// space watches the free bytes under the data folder. Below the minimum only
// what ends old work is written.
type space struct {
	folder  string
	minimum uint64
	hooks   hooks
	metrics *metrics
	full    atomic.Bool
}

func (s *space) watch(ctx context.Context, changed func(full bool)) {
	ticker := time.NewTicker(spaceInterval)
	defer ticker.Stop()
	for {
		if before := s.full.Load(); s.check() != before {
			changed(!before)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// check measures now. A file system that can't be asked counts as not full: the
// write itself will tell.
func (s *space) check() bool {
	free, err := s.free()
	if err != nil {
		return s.full.Load()
	}
	s.metrics.freeBytes.Set(float64(free))
	s.full.Store(free < s.minimum)
	return s.full.Load()
}

func (s *space) free() (uint64, error) {
	if s.hooks.freeBytes != nil {
		return s.hooks.freeBytes()
	}
	var answer syscall.Statfs_t
	if err := syscall.Statfs(s.folder, &answer); err != nil {
		return 0, fmt.Errorf("measure free space of %s: %w", s.folder, err)
	}
	return answer.Bavail * uint64(answer.Bsize), nil
}

// startsWork tells whether a command begins a new file or job, which a full disk
// refuses; all others end old work or are small.
func startsWork(command jobs.Command) bool {
	return command.CreateFile != nil || command.AppendFile != nil || command.Submit != nil || command.SubmitInline != nil
}

// admit refuses new work while the disk of a replica of the group is full. Space
// is kept for what old work still writes.
func (s *Store) admit(group *group, command jobs.Command) *api.Error {
	if !startsWork(command) {
		return nil
	}
	if !s.space.full.Load() && !s.shared.peers.anyFull(s.others(group.members().Members.Voters)) {
		return nil
	}
	failure := api.NewError("accept new work", "", api.CodeDiskFull, api.OutcomeNotRun,
		"the disk of a replica of group %d has less than %d bytes free", group.id, s.space.minimum)
	failure.RetryAfter = diskFullRetryAfter
	return failure
}

func (s *Store) others(replicas []replication.ReplicaID) []replication.ReplicaID {
	self := s.shared.database.identity
	return slices.DeleteFunc(slices.Clone(replicas), func(id replication.ReplicaID) bool { return id == self })
}
