package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
)

// maximumUnframedBytes bounds an answer that must be read whole to be checked.
const maximumUnframedBytes = 16 << 20

// ErrTruncated says that an answer is not known to be whole.
var ErrTruncated = errors.New("answer is not known to be whole")

// Framed gives an answer's body so that its end is certain. HTTP frames it by
// length or by chunks, and a broken frame is a read error. An answer that ends
// with its connection could have lost its tail: a stream has its own last
// event, JSON is read whole and checked, anything else is ErrTruncated.
func Framed(response *http.Response) io.Reader {
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	if framed || IsEventStream(response.Header) {
		return response.Body
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maximumUnframedBytes))
	if err == nil && !json.Valid(body) {
		err = ErrTruncated
	}
	if err != nil {
		return failedReader{err}
	}
	return bytes.NewReader(body)
}

// IsEventStream tells whether an answer is a stream of server-sent events.
func IsEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

type failedReader struct{ err error }

func (r failedReader) Read([]byte) (int, error) { return 0, r.err }
