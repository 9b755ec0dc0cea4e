package guard

import (
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/quarantine"
)

// Paths of the internal protocol.
const (
	PathReports    = "/internal/v1/quarantine/reports" // POST; takes a Report; stores only
	PathTrials     = "/internal/v1/quarantine/trials"  // POST; asks for a trial run; stores only
	PathQuarantine = "/internal/v1/quarantine"         // GET lists; DELETE with /{digest} releases
)

const (
	// Limits of one Report; more crashes and survivals are sent in several.
	maxReportCrashes   = 64
	maxReportSurvivals = 256
	maxCrashRequests   = 256 // per crash
	maxSuspects        = 256
	maxMessageBytes    = 1 << 20
)

// Crash is the crash of a worker with requests of one process in flight.
type Crash struct {
	Worker     string              `json:"worker"`
	AgeMs      int64               `json:"age_ms"` // time since the crash, so that clocks need not be synchronized
	Unanswered []quarantine.Digest `json:"requests,omitempty"`
	Answered   []quarantine.Digest `json:"answered,omitempty"` // those that had begun to respond
}

func (c Crash) decode() quarantine.Crash {
	return quarantine.Crash{Worker: c.Worker, Age: time.Duration(c.AgeMs) * time.Millisecond, Unanswered: c.Unanswered, Answered: c.Answered}
}

// Report is sent by a process to the owner.
type Report struct {
	From    api.NodeID `json:"from"`
	Crashes []Crash    `json:"losses,omitempty"`
	// Suspected requests with a run that completed with its worker still alive.
	Survived []quarantine.Digest `json:"survived,omitempty"`
}

// ReportResponse is the owner's response to a report.
type ReportResponse struct {
	// Epoch differs after each start of the owner, which loses all earlier reports.
	Epoch uint64 `json:"epoch"`
	// Quarantined lists the quarantined requests that the owner knows of.
	Quarantined []quarantine.Digest `json:"found,omitempty"`
	// Suspects are about to be quarantined unless a process reports a surviving run.
	Suspects []Suspect `json:"suspects,omitempty"`
}

// Suspect is a request that is quarantined after one more crash, or unless a surviving run
// is reported in time.
type Suspect struct {
	Digest quarantine.Digest `json:"digest"`
	AgeMs  int64             `json:"age_ms"` // time since its latest crash
}

// TrialRequest asks for a trial run of a quarantined request.
type TrialRequest struct {
	From     api.NodeID        `json:"from,omitempty"`
	Digest   quarantine.Digest `json:"digest"`
	Deferred bool              `json:"deferred,omitempty"` // the request is deferred
}

// TrialResponse is the response to a request for a trial run, which is granted for
// quarantine.TrialLease. If it is not granted, WaitMs is the
// time after which to ask again.
type TrialResponse struct {
	Granted bool  `json:"granted"`
	Runs    int   `json:"runs,omitempty"` // granted runs of deferred requests; 0: one
	WaitMs  int64 `json:"wait_ms,omitempty"`
}

// QuarantinedRequest is a quarantined request as listed for operators.
type QuarantinedRequest struct {
	Digest  quarantine.Digest `json:"digest"`
	Workers []string          `json:"workers"` // crashed while running it
	Trials  int               `json:"trials"`  // trial runs whose worker crashed
}

// check validates a report.
func (r Report) check() *api.Error {
	const step = "read report of ended workers"
	if len(r.Crashes) > maxReportCrashes || len(r.Survived) > maxReportSurvivals {
		return api.NewError(step, string(r.From), api.CodeBadRequest, api.OutcomeNotRun, "%d losses, %d survivals", len(r.Crashes), len(r.Survived))
	}
	digests := r.Survived
	for _, crash := range r.Crashes {
		requests := slices.Concat(crash.Unanswered, crash.Answered)
		if crash.Worker == "" || crash.AgeMs < 0 || len(requests) > maxCrashRequests {
			return api.NewError(step, string(r.From), api.CodeBadRequest, api.OutcomeNotRun, "worker %q, age %d ms, %d requests", crash.Worker, crash.AgeMs, len(requests))
		}
		digests = slices.Concat(digests, requests)
	}
	for _, digest := range digests {
		if !digest.Valid() {
			return api.NewError(step, string(r.From), api.CodeBadRequest, api.OutcomeNotRun, "digest %q", digest)
		}
	}
	return nil
}
