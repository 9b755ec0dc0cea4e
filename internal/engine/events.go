package engine

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
)

// MaxEventBytes bounds one event of a stream.
const MaxEventBytes = 1 << 20

// doneLine is the last event of a complete stream of the OpenAI API.
const doneLine = "data: [DONE]"

// EventReader splits a stream of server-sent events at its blank lines.
type EventReader struct {
	scanner   *bufio.Scanner
	truncated bool
}

// NewEventReader returns a reader of events of at most MaxEventBytes.
func NewEventReader(stream io.Reader) *EventReader {
	scanner := bufio.NewScanner(stream)
	scanner.Buffer(make([]byte, 0, 4<<10), MaxEventBytes)
	reader := &EventReader{scanner: scanner}
	scanner.Split(reader.split)
	return reader
}

func (r *EventReader) split(data []byte, atEOF bool) (int, []byte, error) {
	advance, event, err := splitEvent(data, atEOF)
	r.truncated = atEOF && event == nil && len(data) > 0
	return advance, event, err
}

// Truncated reports, after io.EOF, whether the stream ended within an event.
func (r *EventReader) Truncated() bool { return r.truncated }

// Next returns the next complete event with its blank line. The slice is valid until the
// next call. At the end of the stream it returns io.EOF and drops an incomplete event.
func (r *EventReader) Next() ([]byte, error) {
	if r.scanner.Scan() {
		return r.scanner.Bytes(), nil
	}
	if err := r.scanner.Err(); err != nil {
		return nil, fmt.Errorf("read event: %w", err)
	}
	return nil, io.EOF
}

// IsDone reports whether the event marks the end of a complete stream.
func IsDone(event []byte) bool {
	return bytes.Equal(bytes.TrimSpace(event), []byte(doneLine))
}

// IsComment reports whether the event holds only comments, such as keep-alives, which do
// not count as events when a stream is resumed.
func IsComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		line = bytes.TrimSpace(line)
		if len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// splitEvent is a bufio.SplitFunc. An event ends with an empty line, terminated by LF or
// CRLF. Empty lines before an event belong to it, and those at the end of the stream are
// returned like an event.
func splitEvent(data []byte, atEOF bool) (int, []byte, error) {
	from, blank := 0, true // whether all lines so far are empty
	for from < len(data) {
		end := bytes.IndexByte(data[from:], '\n')
		if end < 0 {
			break
		}
		empty := len(bytes.TrimSuffix(data[from:from+end], []byte("\r"))) == 0
		from += end + 1
		if empty && !blank {
			return from, data[:from], nil
		}
		blank = blank && empty
	}
	switch {
	case !atEOF:
		return 0, nil, nil
	case blank && from == len(data) && from > 0:
		return from, data[:from], nil
	}
	return len(data), nil, nil
}
