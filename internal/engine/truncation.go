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
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	if framed || IsEventStream(response.Header) {
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

// IsEventStream reports whether a response is a stream of server-sent events.
func IsEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

type errorReader struct{ err error }

func (r errorReader) Read([]byte) (int, error) { return 0, r.err }
