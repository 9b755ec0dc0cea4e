package sidecar

import (
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/routing"
)

const (
	maxKeyBytes       = 256
	maxRequestIDBytes = 128
	maxDeadline       = 24 * time.Hour
	uniqueSuffixBytes = 12
)

// onlineRequest is a caller's request in progress.
type onlineRequest struct {
	routed   routing.Request
	callerID string // the caller's own X-Request-Id; may be empty
	key      string // idempotency key; empty for none
	header   http.Header
	path     string
	uri      string
	body     []byte
	deadline time.Time
	// failedWorkers are the workers at which earlier attempts failed; routed.Excluded
	// lists the homes.
	failedWorkers []string
}

// modelPath reports whether the path is of the model API, whose streams end with a
// [DONE] event.
func (q *onlineRequest) modelPath() bool {
	return q.path == "/v1/chat/completions" || q.path == "/v1/completions"
}

// read reads the caller's request with its body, so that it can be retried. The caller
// must call release when the body is no longer used, also after a failure.
func (s *Sidecar) read(w http.ResponseWriter, r *http.Request) (request *onlineRequest, release func(), failure *api.Error) {
	const step = "read request"
	snapshot := s.table.Load()
	if snapshot == nil {
		return nil, func() {}, newNoTableError(step)
	}
	request, failure = readHeaders(r, time.Now(), s.node.Settings.Sidecar.DefaultDeadline)
	if failure != nil {
		return nil, func() {}, failure
	}
	request.body, release, failure = s.bodies.Read(w, r, step)
	if failure != nil {
		return nil, release, failure
	}
	service, err := jobs.ServiceOf(request.path, request.body)
	if err != nil {
		return nil, release, api.NewError(step, "", api.CodeBadRequest, api.OutcomeNotRun, "%w", err)
	}
	rows := snapshot.Service(service)
	if len(rows) == 0 {
		return nil, release, api.NewError(step, "", api.CodeUnknownService, api.OutcomeNotRun, "the model or service %q is not in the table", service)
	}
	request.routed.Service = service
	// A request with a key is non-repeatable unless a header says otherwise.
	request.routed.Repeatable, failure = repeatableOf(r, request.key == "" && allRepeatable(rows))
	if request.routed.Repeatable {
		request.key = ""
	}
	return request, release, failure
}

// allRepeatable reports whether all rows of a service are repeatable, which is the default
// for its requests.
func allRepeatable(rows []api.Row) bool {
	for _, row := range rows {
		if !row.Repeatable {
			return false
		}
	}
	return true
}

// readHeaders parses and validates the caller's headers.
func readHeaders(r *http.Request, now time.Time, defaultDeadline time.Duration) (*onlineRequest, *api.Error) {
	request := &onlineRequest{
		callerID: r.Header.Get(api.HeaderRequestID), key: r.Header.Get(api.HeaderIdempotencyKey),
		header: r.Header, path: r.URL.Path, uri: r.URL.RequestURI(),
	}
	if len(request.callerID) > maxRequestIDBytes || !printable(request.callerID) {
		return nil, newHeaderError(api.HeaderRequestID, "at most 128 printable ASCII characters")
	}
	if len(request.key) > maxKeyBytes || !printable(request.key) {
		return nil, newHeaderError(api.HeaderIdempotencyKey, "at most 256 printable ASCII characters")
	}
	remaining := defaultDeadline
	if text := r.Header.Get(api.HeaderDeadline); text != "" {
		milliseconds, err := strconv.ParseInt(text, 10, 64)
		if err != nil || milliseconds < 1 || milliseconds > maxDeadline.Milliseconds() {
			return nil, newHeaderError(api.HeaderDeadline, "a number of milliseconds from 1 to a day's")
		}
		remaining = time.Duration(milliseconds) * time.Millisecond
	}
	request.deadline = now.Add(remaining)
	request.routed = routing.Request{ID: uniqueID(request.callerID), Tenant: tenantOf(r), Class: api.ClassOnline}
	return request, nil
}

func newHeaderError(name, want string) *api.Error {
	return api.NewError("read request", "", api.CodeBadRequest, api.OutcomeNotRun, "header %s is not %s", name, want)
}

func printable(text string) bool {
	for i := range len(text) {
		if text[i] < ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

// uniqueID returns a unique request id, prefixed by the caller's id, which need not be
// unique. Responses are matched and claims are fenced by it.
func uniqueID(callerID string) api.RequestID {
	unique := uuid.NewString()
	if callerID == "" {
		return api.RequestID(unique)
	}
	return api.RequestID(callerID + "." + unique[len(unique)-uniqueSuffixBytes:])
}

func repeatableOf(r *http.Request, byDefault bool) (bool, *api.Error) {
	text := r.Header.Get(api.HeaderRepeatable)
	if text == "" {
		return byDefault, nil
	}
	repeatable, err := strconv.ParseBool(text)
	if err != nil {
		return false, newHeaderError(api.HeaderRepeatable, "true or false")
	}
	return repeatable, nil
}
