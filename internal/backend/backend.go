// Package backend is the seam between the roles and a platform's way of speaking
// with clients and workers over HTTP: typed values on one side, an adapter's
// header names and formats on the other.
package backend

import (
	"net/http"
	"time"

	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/route"
	"github.com/dykewing/dykewing/worker"
)

// Request is what a client says of its request.
type Request struct {
	ID           string
	Left         time.Duration // that the client waits; 0: not told
	LastEvent    string        // a stream is to go on after it
	Parts        []worker.Part // of the prompt, in order
	PromptTokens int
	OutputTokens int // estimate; 0: not told
	Key          route.Key
	HasKey       bool // Key is told, once and in the right form
}

// Call is what the system tells a worker with a request.
type Call struct {
	ID        string        // empty: as the client sent it
	Left      time.Duration // after which the worker may stop
	Worker    string        // the only one that may run it
	LastEvent string        // go on after it; empty: as the client sent it
	// Tenants: the configuration has tenants, so that neither a key nor a tenant that
	// the client named may reach the worker. Tenant is whose the request is, if known.
	Tenants bool
	Tenant  string
}

// Answer is what a worker says with an answer's header.
type Answer struct {
	RequestID string
	Stamped   bool // the worker signed it
	NotRun    bool // the worker says that it did not run the request
	Moved     bool // another worker has the address
	Load      worker.Load
	Loaded    bool // Load is told
}

// Report is a worker's state when asked for it.
type Report struct {
	Born        time.Time // when the worker started; zero when not told
	Running     int
	Waiting     int
	UsedTokens  int
	TotalTokens int
	Pace        float64 // of its answer's header; 0 when not told
}

// JobAction is what a call about a submitted job asks for.
type JobAction int

// The actions.
const (
	JobRead JobAction = iota + 1 // results from a position on
	JobItem                      // an item's body
	JobEnd                       // end the job
)

// JobCall is a call about a submitted job.
type JobCall struct {
	Action JobAction
	Job    string
	Item   string
	From   int // position, counted from 0
}

// Resolve is a client's question to the registry.
type Resolve struct {
	Host   string
	Region string
	Zone   string
}

// Addresses is the registry's answer.
type Addresses struct {
	Addresses []string
	Lifetime  time.Duration
}

// Protocol is a platform's way of speaking. It decides nothing.
type Protocol interface {
	ReadRequest(header http.Header) Request
	WriteCall(header http.Header, call Call)
	ReadAnswer(status int, header http.Header) Answer
	StripAnswer(header http.Header)
	WriteRetryAfter(header http.Header, pause time.Duration)

	ReportPath() string
	DecodeReport(raw []byte) (Report, error)

	DecodeJob(raw []byte) ([]jobs.InlineItem, error)
	ReadJobCall(r *http.Request) (JobCall, bool)
	EncodePage(page jobs.InlinePage) ([]byte, error)

	ReadResolve(r *http.Request) (Resolve, bool)
	EncodeAddresses(answer Addresses) ([]byte, error)
	ReadyPath() string
}
