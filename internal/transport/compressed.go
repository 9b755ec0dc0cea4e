package transport

import (
	"compress/gzip"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
)

// leastCompressedBytes of an answer are worth compressing: below, headers are most of it.
const leastCompressedBytes = 1 << 10

var gzipWriters = sync.Pool{New: func() any {
	writer, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		panic(err) // only for a level that does not exist
	}
	return writer
}}

// WriteCompactJSON is WriteJSON for answers that may be large: compressed where the caller
// says that it reads that, as one with Options.Compressed does.
func WriteCompactJSON(w http.ResponseWriter, r *http.Request, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		// As with WriteJSON the status goes out; the caller finds no JSON and fails.
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if len(body) < leastCompressedBytes || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.WriteHeader(status)
		_, _ = w.Write(body)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	w.WriteHeader(status)
	writer := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(writer)
	writer.Reset(w)
	_, _ = writer.Write(body) // as with WriteJSON: a caller that is gone needs no answer
	_ = writer.Close()
}
