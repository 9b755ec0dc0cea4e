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

// EventReader splits a stream of server-sent events at its blank lines. An event ends with an empty
// line, terminated by LF or CRLF. Empty lines before an event belong to it, and those at the end of the
// stream are returned like an event.
type EventReader struct {
	scanner   *bufio.Scanner
	source    *errorRecorder
	truncated bool

	line     int  // start of the first line of the event being read that is not complete
	searched int  // bytes of the event in which the end of that line was looked for
	started  bool // a line before it is not empty
}

// errorRecorder keeps the error that ended a stream.
type errorRecorder struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (r *errorRecorder) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil {
		r.err = err
	}
	return n, err
}

// NewEventReader returns a reader of events of at most MaxEventBytes.
func NewEventReader(stream io.Reader) *EventReader {
	reader := &EventReader{source: &errorRecorder{Reader: stream}}
	reader.scanner = bufio.NewScanner(reader.source)
	reader.scanner.Buffer(make([]byte, 0, 4<<10), MaxEventBytes)
	reader.scanner.Split(reader.split)
	return reader
}

// split is a bufio.SplitFunc. It looks at each byte once, however often it is called for an event.
func (r *EventReader) split(data []byte, atEnd bool) (int, []byte, error) {
	for {
		length := bytes.IndexByte(data[r.searched:], '\n')
		if length < 0 {
			r.searched = len(data)
			break
		}
		end := r.searched + length
		empty := len(bytes.TrimSuffix(data[r.line:end], []byte("\r"))) == 0
		r.line, r.searched = end+1, end+1
		if empty && r.started {
			return r.next(data[:r.line])
		}
		r.started = r.started || !empty
	}
	if !atEnd {
		return 0, nil, nil
	}
	if onlyEmpty := !r.started && r.line == len(data); onlyEmpty && r.source.err == io.EOF && len(data) > 0 {
		return r.next(data)
	}
	r.truncated = r.truncated || len(data) > 0
	advance, _, err := r.next(data) // an incomplete event is dropped
	return advance, nil, err
}

// next returns an event and prepares for the one after it.
func (r *EventReader) next(event []byte) (int, []byte, error) {
	r.line, r.searched, r.started = 0, 0, false
	return len(event), event, nil
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
