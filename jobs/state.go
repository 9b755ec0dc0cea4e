package jobs

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/dykewing/dykewing/api"
)

// ErrIncompleteSnapshot is returned for a storage that holds an interrupted import of a
// snapshot. Only another ReadSnapshot makes it usable.
var ErrIncompleteSnapshot = errors.New("applied state is an incompletely imported snapshot")

// Entry is a committed command with its log index.
type Entry struct {
	Index   uint64
	Command Command
}

// State is the applied state of one group. It is kept in the storage only, so that
// memory use does not grow with files, items and results. Reads may run concurrently
// with Apply and see the state between two transactions.
type State struct {
	storage Storage
	faults  Faults
}

// Faults are injected faults that verify that the tests detect violations. The zero
// value injects none.
type Faults struct {
	AcceptSecondResult bool // a later result replaces the first
	StartAfterCancel   bool // items of cancelled jobs are started
	IgnoreEpoch        bool // a late start under an older grant is accepted
	DropReturned       bool // a returned item is not requeued
	IgnoreQueueBound   bool // jobs are admitted to a full queue
	TrustCheckpoints   bool // a result is listed although the stored parts do not match it
}

// OpenState opens the state that the storage holds, which may be empty.
func OpenState(storage Storage) (*State, error) { return OpenStateWithFaults(storage, Faults{}) }

// OpenStateWithFaults is OpenState with injected faults, for tests.
func OpenStateWithFaults(storage Storage, faults Faults) (*State, error) {
	state := &State{storage: storage, faults: faults}
	err := storage.View(func(r Reader) error {
		if r.Get(importingKey) != nil {
			return ErrIncompleteSnapshot
		}
		return nil
	})
	return state, err
}

// AppliedIndex returns the index of the last applied entry.
func (s *State) AppliedIndex() (uint64, error) {
	index := uint64(0)
	err := s.storage.View(func(r Reader) error {
		index = appliedIndex(r)
		return nil
	})
	return index, err
}

func appliedIndex(r Reader) uint64 {
	if raw := r.Get(appliedKey); raw != nil {
		return binary.BigEndian.Uint64(raw)
	}
	return 0
}

// Apply applies committed entries in order, in one transaction with the new index.
// Entries that were applied before are skipped and yield Duplicate. The effect of an
// entry depends only on the state and its command. On error none of the entries took
// effect, and the replica must stop.
func (s *State) Apply(entries ...Entry) ([]Result, error) {
	results := make([]Result, len(entries))
	err := s.storage.Update(func(w Writer) error {
		applied := appliedIndex(w)
		for i, entry := range entries {
			if entry.Index <= applied {
				results[i] = Result{Duplicate: true}
				continue
			}
			change := &change{Writer: w, now: entry.Command.Time, faults: s.faults}
			results[i] = change.apply(entry.Command)
			if change.err != nil {
				return fmt.Errorf("apply entry %d: %w", entry.Index, change.err)
			}
			applied = entry.Index
		}
		w.Put(appliedKey, binary.BigEndian.AppendUint64(nil, applied))
		return nil
	})
	if err != nil {
		return nil, err
	}
	return results, nil
}

// change applies one command within a transaction.
type change struct {
	Writer
	now    time.Time
	faults Faults
	err    error // a stored value could not be decoded or encoded
}

func (c *change) apply(command Command) Result {
	switch {
	case command.CreateFile != nil:
		return c.createFile(*command.CreateFile)
	case command.AppendFile != nil:
		return c.appendFile(*command.AppendFile)
	case command.SealFile != nil:
		return c.sealFile(*command.SealFile)
	case command.DeleteFile != nil:
		return c.deleteFile(*command.DeleteFile)
	case command.Submit != nil:
		return c.submit(*command.Submit)
	case command.Cancel != nil:
		return c.cancel(*command.Cancel)
	case command.ExpireJobs != nil:
		return c.expireJobs(*command.ExpireJobs)
	case command.Start != nil:
		return c.start(*command.Start)
	case command.Complete != nil:
		return c.complete(*command.Complete)
	case command.Claim != nil:
		return c.claim(*command.Claim)
	case command.Record != nil:
		return c.record(*command.Record)
	case command.Expire != nil:
		return c.expireRetention(*command.Expire)
	case command.Holder != nil:
		return c.changeHolder(*command.Holder)
	case command.SubmitInline != nil:
		return c.submitInline(*command.SubmitInline)
	case command.CompleteInline != nil:
		return c.completeInline(*command.CompleteInline)
	case command.CheckpointInline != nil:
		return c.checkpointInline(*command.CheckpointInline)
	case command.EndInline != nil:
		return c.endInline(*command.EndInline)
	case command.ExpireInline != nil:
		return c.expireInline(*command.ExpireInline)
	case command.AdmitToQueue != nil:
		return c.admitToQueue(*command.AdmitToQueue)
	case command.ReportQueue != nil:
		return c.reportQueue(*command.ReportQueue)
	}
	return failure(api.CodeBadRequest, "unknown command")
}

func failure(code api.ErrorCode, format string, arguments ...any) Result {
	return Result{Code: code, Message: fmt.Sprintf(format, arguments...)}
}

// put stores a value as JSON.
func (c *change) put(key []byte, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		c.err = fmt.Errorf("encode value of key %q: %w", key, err)
		return
	}
	c.Put(key, raw)
}

// get decodes a JSON value and reports whether the key exists.
func get(r Reader, key []byte, value any) (bool, error) {
	raw := r.Get(key)
	if raw == nil {
		return false, nil
	}
	if err := json.Unmarshal(raw, value); err != nil {
		return false, fmt.Errorf("decode value of key %q: %w", key, err)
	}
	return true, nil
}

func (c *change) get(key []byte, value any) bool {
	found, err := get(c, key, value)
	if err != nil {
		c.err = err
	}
	return found
}
