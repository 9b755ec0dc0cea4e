package transport

import (
	"compress/gzip"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
)

// minCompressBytes is the response size below which compression saves too little.
const minCompressBytes = 1 << 10

var gzipWriters = sync.Pool{New: func() any {
	writer, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		panic(err) // the level is invalid
	}
	return writer
}}

// WriteCompressedJSON is like WriteJSON for responses that may be large: it compresses them
// if the request accepts gzip.
func WriteCompressedJSON(w http.ResponseWriter, r *http.Request, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		// As in WriteJSON, the caller fails to decode the empty body.
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if len(body) < minCompressBytes || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.WriteHeader(status)
		_, _ = w.Write(body)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	w.WriteHeader(status)
	writer := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(writer)
	writer.Reset(w)
	_, _ = writer.Write(body) // as in WriteJSON: fails only if the caller is gone
	_ = writer.Close()
}
