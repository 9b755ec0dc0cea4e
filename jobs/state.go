package jobs

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/dykewing/dykewing/api"
)

// ErrIncompleteSnapshot says that the storage holds a part of a snapshot whose
// import was interrupted; only another ReadSnapshot mends it.
var ErrIncompleteSnapshot = errors.New("the applied state is an incomplete snapshot")

// Entry is a committed command with its place in the log.
type Entry struct {
	Index   uint64
	Command Command
}

// State is the applied state of one group. All of it is in the storage, so
// that memory does not grow with files, items and results. Reads run beside
// Apply and see the state between two of them.
type State struct {
	storage Storage
	faults  Faults
}

// Faults plant defects, to show that the checks of tests can fail. The zero
// value has none.
type Faults struct {
	AcceptSecondResult bool // a later result replaces the first
	StartAfterCancel   bool // cancelled jobs go on starting items
	IgnoreEpoch        bool // a late start of an older grant is taken
	ForgetReturned     bool // a returned item does not wait again
	IgnoreQueueBound   bool // jobs are admitted to a full queue
	TrustKept          bool // a result is listed over parts that are not its text's
}

// OpenState goes on from what the storage holds.
func OpenState(storage Storage) (*State, error) { return OpenStateWithFaults(storage, Faults{}) }

// OpenStateWithFaults is OpenState with planted defects, for tests.
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

// Applied is the index of the last entry that took effect.
func (s *State) Applied() (uint64, error) {
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

// Apply applies committed entries, in order, with the new index in one
// transaction; entries that were applied before have no second effect and
// answer Duplicate. What an entry does depends on nothing but the state and its
// command. An error means that none took effect and the replica must stop.
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

// change is one command's effect within a transaction.
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
	case command.KeepInline != nil:
		return c.keepInline(*command.KeepInline)
	case command.EndInline != nil:
		return c.endInline(*command.EndInline)
	case command.ExpireInline != nil:
		return c.expireInline(*command.ExpireInline)
	case command.AdmitToQueue != nil:
		return c.admitToQueue(*command.AdmitToQueue)
	case command.ReportQueue != nil:
		return c.reportQueue(*command.ReportQueue)
	}
	return failure(api.CodeBadRequest, "command has no known part")
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

// get reads a JSON value and tells whether it is there.
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
