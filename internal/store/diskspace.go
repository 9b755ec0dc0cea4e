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

// diskSpace monitors the free bytes of the data folder's file system. Below minFreeBytes only
// commands that complete existing work are accepted.
type diskSpace struct {
	folder       string
	minFreeBytes uint64
	hooks        hooks
	metrics      *metrics
	full         atomic.Bool
}

func (s *diskSpace) watch(ctx context.Context, changed func(full bool)) {
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

// check updates and returns whether the disk is full. If the measurement fails, the last
// result stays in effect.
func (s *diskSpace) check() bool {
	free, err := s.free()
	if err != nil {
		return s.full.Load()
	}
	s.metrics.freeBytes.Set(float64(free))
	s.full.Store(free < s.minFreeBytes)
	return s.full.Load()
}

func (s *diskSpace) free() (uint64, error) {
	if s.hooks.freeBytes != nil {
		return s.hooks.freeBytes()
	}
	var answer syscall.Statfs_t
	if err := syscall.Statfs(s.folder, &answer); err != nil {
		return 0, fmt.Errorf("measure free space of %s: %w", s.folder, err)
	}
	return answer.Bavail * uint64(answer.Bsize), nil
}

// startsWork reports whether a command creates or extends a file or creates a job, which a
// full disk refuses; all others complete existing work or are small.
func startsWork(command jobs.Command) bool {
	return command.CreateFile != nil || command.AppendFile != nil || command.Submit != nil || command.SubmitInline != nil
}

// admit refuses new work while the disk of a replica of the group is full, to reserve space
// for the completion of existing work.
func (s *Store) admit(group *group, command jobs.Command) *api.Error {
	if !startsWork(command) {
		return nil
	}
	if !s.space.full.Load() && !s.shared.peers.anyFull(s.otherReplicas(group.members().Members.Voters)) {
		return nil
	}
	failure := api.NewError("accept new work", "", api.CodeDiskFull, api.OutcomeNotRun,
		"the disk of a replica of group %d has less than %d bytes free", group.id, s.space.minFreeBytes)
	failure.RetryAfter = diskFullRetryAfter
	return failure
}

func (s *Store) otherReplicas(replicas []replication.ReplicaID) []replication.ReplicaID {
	self := s.shared.database.identity
	return slices.DeleteFunc(slices.Clone(replicas), func(id replication.ReplicaID) bool { return id == self })
}
