package transport

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/dykewing/dykewing/api"
)

const (
	initialBodyBytes = 4 << 10
	// requestOverheadBytes is charged for each request in addition to its body: for its
	// goroutines, headers and connection buffers.
	requestOverheadBytes = 16 << 10
	budgetRetryAfter     = time.Second
)

// BodyBudget limits the memory for request bodies in a process, the size of each body and
// the time to receive it. It is safe for concurrent use; the exported fields must be set
// before first use.
type BodyBudget struct {
	MaxTotal int64         // maximum bytes in use by all requests
	MaxBody  int64         // maximum bytes of one body
	Timeout  time.Duration // for receiving a whole body
	inUse    atomic.Int64
}

// InUse returns the number of bytes in use.
func (b *BodyBudget) InUse() int64 { return b.inUse.Load() }

// Read reads a whole body. The caller must call release once the body is no longer used,
// also after a failure. Memory is reserved as data arrives, so that a caller cannot
// reserve far more than it has sent.
func (b *BodyBudget) Read(w http.ResponseWriter, r *http.Request, step string) (body []byte, release func(), failure *api.Error) {
	reserved := int64(requestOverheadBytes)
	release = func() { b.inUse.Add(-reserved) }
	if !b.reserve(reserved) {
		reserved = 0
		return nil, release, b.exhausted(step)
	}
	if r.ContentLength > b.MaxBody {
		return nil, release, api.NewError(step, "", api.CodeTooLarge, api.OutcomeNotRun, "body of %d bytes is over %d", r.ContentLength, b.MaxBody)
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(b.Timeout))
	defer func() {
		if failure != nil {
			// Keeps the read deadline, since the server may drain the unread rest of
			// the body before it closes the connection.
			w.Header().Set("Connection", "close")
			return
		}
		_ = controller.SetReadDeadline(time.Time{})
	}()
	reader := http.MaxBytesReader(w, r.Body, b.MaxBody)
	for {
		if len(body) == cap(body) {
			next := max(2*int64(cap(body)), min(max(r.ContentLength+1, 1), initialBodyBytes))
			if r.ContentLength >= 0 {
				next = min(next, r.ContentLength+1) // one more byte to read EOF without growing
			}
			if !b.reserve(next) {
				return nil, release, b.exhausted(step)
			}
			reserved += next
			grown := make([]byte, len(body), next)
			copy(grown, body)
			body = grown
		}
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, release, nil
		}
		if err != nil {
			return nil, release, bodyReadError(step, err)
		}
	}
}

func (b *BodyBudget) reserve(bytes int64) bool {
	if b.inUse.Add(bytes) <= b.MaxTotal {
		return true
	}
	b.inUse.Add(-bytes)
	return false
}

func (b *BodyBudget) exhausted(step string) *api.Error {
	failure := api.NewError(step, "", api.CodeOverloaded, api.OutcomeNotRun, "bodies of %d bytes are held already", b.InUse())
	failure.RetryAfter = budgetRetryAfter
	return failure
}

func bodyReadError(step string, err error) *api.Error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return api.NewError(step, "", api.CodeRequestTimeout, api.OutcomeNotRun, "the body did not come in time")
	}
	return BodyError(step, err)
}
