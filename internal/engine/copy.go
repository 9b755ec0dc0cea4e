package engine

import (
	"fmt"
	"io"
	"net/http"
	"sync"
)

const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// CopyStream copies a response body to w until io.EOF. Without a Content-Length header it
// flushes after each read.
func CopyStream(w http.ResponseWriter, body io.Reader) error {
	controller := http.NewResponseController(w)
	flushes := w.Header().Get("Content-Length") == ""
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := body.Read(buffer[:])
		if n > 0 {
			if _, writeError := w.Write(buffer[:n]); writeError != nil {
				return fmt.Errorf("write to caller: %w", writeError)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read answer: %w", err)
		}
		if n > 0 && flushes {
			_ = controller.Flush()
		}
	}
}
