// Package backend separates the roles from a platform's HTTP protocol with clients
// and workers. The roles use typed values; a Protocol implementation maps them to
// header names and body formats.
package backend

import (
	"net/http"
	"time"

	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/route"
	"github.com/dykewing/dykewing/worker"
)

// Request holds what a client's headers say about its request.
type Request struct {
	ID           string
	Remaining    time.Duration // remaining time before the client's deadline; 0 if not given
	LastEvent    string        // ID of the last event received, after which a stream resumes
	Resumes      string        // ID of the request that received the first event of that stream; empty if not given
	Parts        []worker.Part // of the prompt, in order
	PromptTokens int
	OutputTokens int // estimate; 0 if not given
	Key          route.Key
	HasKey       bool // exactly one well-formed key was given
}

// Call holds what a worker is told about a request.
type Call struct {
	ID        string        // if empty, the client's header is kept
	Remaining time.Duration // remaining time, after which the worker may stop
	Worker    string        // the only worker that may run the request
	LastEvent string        // event after which to resume; if empty, the client's header is kept
	// HasTenants reports whether the configuration has tenants. If so, keys and tenants
	// named by the client are not passed to the worker.
	HasTenants bool
	Tenant     string // owner of the request; empty if unknown
}

// ResponseInfo holds what the header of a worker's response says.
type ResponseInfo struct {
	RequestID string
	Stamped   bool // the response carries the worker protocol's stamp header
	NotRun    bool // the worker reports that it did not run the request
	Moved     bool // the address now belongs to another worker
	Load      worker.Load
	HasLoad   bool // Load is present
}

// Report is a worker's state, as returned by its report endpoint.
type Report struct {
	StartedAt   time.Time // start time; zero if not given
	Running     int
	Waiting     int
	UsedTokens  int
	TotalTokens int
	Pace        float64 // from the response's header; 0 if not given
}

// JobAction is the operation that a call on a submitted job requests.
type JobAction int

const (
	JobRead JobAction = iota + 1 // read results from a position on
	JobItem                      // read an item's body
	JobEnd                       // end the job
)

// JobCall is a call on a submitted job.
type JobCall struct {
	Action JobAction
	Job    string
	Item   string
	From   int // index of the first result, from 0
}

// ResolveRequest is a client's query for the addresses of a host.
type ResolveRequest struct {
	Host   string
	Region string
	Zone   string
}

// ResolveResponse is the response to a Resolve query. Clients may cache it for Lifetime.
type ResolveResponse struct {
	Addresses []string
	TTL       time.Duration
}

// Protocol maps the values of this package to a platform's HTTP headers and body
// formats. It makes no routing or scheduling decisions.
type Protocol interface {
	ReadRequest(header http.Header) Request
	WriteCall(header http.Header, call Call)
	ReadResponse(status int, header http.Header) ResponseInfo
	StripResponse(header http.Header)
	WriteRetryAfter(header http.Header, pause time.Duration)

	ReportPath() string
	DecodeReport(raw []byte) (Report, error)

	DecodeJob(raw []byte) ([]jobs.InlineItem, error)
	ReadJobCall(r *http.Request) (JobCall, bool)
	EncodePage(page jobs.InlinePage) ([]byte, error)

	ReadResolve(r *http.Request) (ResolveRequest, bool)
	EncodeAddresses(answer ResolveResponse) ([]byte, error)
	ReadyPath() string
}
