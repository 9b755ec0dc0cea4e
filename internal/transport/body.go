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
	firstBodyBytes = 4 << 10
	// requestBytes is charged for each request besides its body: its
	// goroutines, its header and the buffers of its connections.
	requestBytes     = 16 << 10
	budgetRetryAfter = time.Second
)

// BodyBudget bounds the bytes of request bodies that a process holds at once,
// and how long one caller may take to send its body.
type BodyBudget struct {
	Total   int64         // bytes held by all requests
	Each    int64         // bytes of one body
	Timeout time.Duration // for a whole body
	held    atomic.Int64
}

// Held is the number of bytes held now.
func (b *BodyBudget) Held() int64 { return b.held.Load() }

// Read takes a body whole. release gives its bytes back to the budget and must
// be called once the body is no longer used, also after a failure. Space is
// taken as bytes come, so that a caller holds no more than it sent, twice.
func (b *BodyBudget) Read(w http.ResponseWriter, r *http.Request, step string) (body []byte, release func(), failure *api.Error) {
	reserved := int64(requestBytes)
	release = func() { b.held.Add(-reserved) }
	if !b.reserve(reserved) {
		reserved = 0
		return nil, release, b.full(step)
	}
	if r.ContentLength > b.Each {
		return nil, release, api.NewError(step, "", api.CodeTooLarge, api.OutcomeNotRun, "body of %d bytes is over %d", r.ContentLength, b.Each)
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(b.Timeout))
	defer func() {
		if failure != nil {
			// The rest of the body stays unread. The deadline stays too, since
			// the server may wait for that rest before it lets the caller go.
			w.Header().Set("Connection", "close")
			return
		}
		_ = controller.SetReadDeadline(time.Time{})
	}()
	reader := http.MaxBytesReader(w, r.Body, b.Each)
	for {
		if len(body) == cap(body) {
			next := max(2*int64(cap(body)), min(max(r.ContentLength+1, 1), firstBodyBytes))
			if r.ContentLength >= 0 {
				next = min(next, r.ContentLength+1) // one more, to meet the end without growing
			}
			if !b.reserve(next) {
				return nil, release, b.full(step)
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
			return nil, release, bodyFailure(step, err)
		}
	}
}

func (b *BodyBudget) reserve(bytes int64) bool {
	if b.held.Add(bytes) <= b.Total {
		return true
	}
	b.held.Add(-bytes)
	return false
}

func (b *BodyBudget) full(step string) *api.Error {
	failure := api.NewError(step, "", api.CodeOverloaded, api.OutcomeNotRun, "bodies of %d bytes are held already", b.Held())
	failure.RetryAfter = budgetRetryAfter
	return failure
}

func bodyFailure(step string, err error) *api.Error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return api.NewError(step, "", api.CodeRequestTimeout, api.OutcomeNotRun, "the body did not come in time")
	}
	return BodyError(step, err)
}
