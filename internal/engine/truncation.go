package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
)

// maxUnframedBytes bounds a response that is buffered to be checked.
const maxUnframedBytes = 16 << 20

// ErrTruncated is the error of a response that may be truncated.
var ErrTruncated = errors.New("response may be truncated")

// CheckedBody returns a reader of the response body that detects truncation. With a
// Content-Length or chunked encoding, net/http reports a truncated body. A body that is
// delimited by the end of the connection may be truncated without an error: event streams
// have a last event that their reader checks for, JSON is read completely and validated,
// and anything else fails with ErrTruncated.
func CheckedBody(response *http.Response) io.Reader {
	if framed(response) || IsEventStream(response.Header) {
		return response.Body
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxUnframedBytes+1))
	if err == nil && (len(body) > maxUnframedBytes || !json.Valid(body)) {
		err = ErrTruncated
	}
	if err != nil {
		return errorReader{err}
	}
	return bytes.NewReader(body)
}

// ReadChecked reads a response body of at most limit bytes and one more, as by CheckedBody. An event stream
// that is delimited by the end of the connection has to end with its last event, or ErrTruncated is returned.
func ReadChecked(response *http.Response, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(CheckedBody(response), limit+1))
	whole := framed(response) || !IsEventStream(response.Header) || int64(len(body)) > limit || endsWithDone(body)
	if err == nil && !whole {
		err = ErrTruncated
	}
	return body, err
}

// framed reports whether the body has a length or chunks, so that its end is recognized.
func framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

func endsWithDone(stream []byte) bool {
	events, done := NewEventReader(bytes.NewReader(stream)), false
	for {
		event, err := events.Next()
		if err != nil {
			return done && err == io.EOF && !events.Truncated()
		}
		done = IsDone(event)
	}
}

// IsEventStream reports whether a response is a stream of server-sent events.
func IsEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

type errorReader struct{ err error }

func (r errorReader) Read([]byte) (int, error) { return 0, r.err }
