package engine

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
)

// MaximumEventBytes bounds one event of a stream.
const MaximumEventBytes = 1 << 20

// doneData ends a whole stream of the OpenAI API.
const doneData = "data: [DONE]"

// EventReader splits a stream of server-sent events at its blank lines.
type EventReader struct {
	scanner *bufio.Scanner
	cut     bool
}

// NewEventReader reads events of at most MaximumEventBytes.
func NewEventReader(stream io.Reader) *EventReader {
	scanner := bufio.NewScanner(stream)
	scanner.Buffer(make([]byte, 0, 4<<10), MaximumEventBytes)
	reader := &EventReader{scanner: scanner}
	scanner.Split(reader.split)
	return reader
}

func (r *EventReader) split(data []byte, atEnd bool) (int, []byte, error) {
	advance, event, err := splitEvent(data, atEnd)
	r.cut = atEnd && event == nil && len(data) > 0
	return advance, event, err
}

// Cut tells, after io.EOF, whether the stream ended within an event.
func (r *EventReader) Cut() bool { return r.cut }

// Next gives the next whole event with its blank line. io.EOF is the end of
// the stream, also where it ends within an event, whose bytes are left out.
// The bytes hold until the next call.
func (r *EventReader) Next() ([]byte, error) {
	if r.scanner.Scan() {
		return r.scanner.Bytes(), nil
	}
	if err := r.scanner.Err(); err != nil {
		return nil, fmt.Errorf("read event: %w", err)
	}
	return nil, io.EOF
}

// IsDone tells whether the event ends a whole stream.
func IsDone(event []byte) bool {
	return bytes.Equal(bytes.TrimSpace(event), []byte(doneData))
}

// IsComment tells whether the event holds only comments, such as keep-alives,
// which engines do not count.
func IsComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		line = bytes.TrimSpace(line)
		if len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// splitEvent is a bufio.SplitFunc: an event ends with an empty line, of either
// line end.
func splitEvent(data []byte, atEnd bool) (int, []byte, error) {
	for from := 0; from < len(data); {
		end := bytes.IndexByte(data[from:], '\n')
		if end < 0 {
			break
		}
		line := data[from : from+end]
		from += end + 1
		if len(bytes.TrimSuffix(line, []byte("\r"))) == 0 {
			return from, data[:from], nil
		}
	}
	if atEnd {
		return len(data), nil, nil
	}
	return 0, nil, nil
}
