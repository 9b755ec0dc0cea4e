package engine

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

var (
	errNoEvent       = errors.New("bytes that are no event")
	errOnlyComments  = errors.New("comments without an event")
	errEventNotAfter = errors.New("event does not follow the one before it")
)

// Sequence checks that a stream consists of events whose IDs rise, as far as they are numbers. The zero
// value is ready for a whole stream.
type Sequence struct {
	last          uint64 // ID of the last event that had one, if any is true
	any           bool
	commentsBytes int // since the last event
}

// NewSequence returns a Sequence for a stream that goes on after an event. An ID that is not a number is
// like none.
func NewSequence(lastEventID string) *Sequence {
	last, err := strconv.ParseUint(lastEventID, 10, 64)
	if err != nil {
		return &Sequence{}
	}
	return &Sequence{last: last, any: true}
}

// Check checks what EventReader returned next and reports whether it is an event: comments and empty
// lines are not. After an error the stream must not go on.
func (s *Sequence) Check(event []byte) (bool, error) {
	if IsComment(event) {
		s.commentsBytes += len(event)
		if s.commentsBytes > MaxEventBytes {
			return false, fmt.Errorf("%w: %d bytes", errOnlyComments, s.commentsBytes)
		}
		return false, nil
	}
	s.commentsBytes = 0
	id, found := field(event, "id:")
	if _, hasData := field(event, "data:"); !found && !hasData {
		return false, errNoEvent
	}
	if number, err := strconv.ParseUint(id, 10, 64); found && err == nil {
		if s.any && number <= s.last {
			return false, fmt.Errorf("%w: %d after %d", errEventNotAfter, number, s.last)
		}
		s.last, s.any = number, true
	}
	return true, nil
}

// EventID returns the ID field of an event.
func EventID(event []byte) (string, bool) { return field(event, "id:") }

// field returns the first field of an event whose line begins with the prefix.
func field(event []byte, prefix string) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte(prefix)); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
