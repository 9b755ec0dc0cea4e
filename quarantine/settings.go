package quarantine

import "time"

// Settings configure the detection. Zero values are replaced by the defaults.
type Settings struct {
	// CrashThreshold is the number of worker crashes, with no surviving run in between, after which a
	// request is quarantined.
	CrashThreshold int
	// The time that the evaluation of a crash waits for reports of other processes that had
	// requests on the same worker.
	ReportWindow time.Duration
	// CrashTTL is how long a crash counts as evidence.
	CrashTTL time.Duration
	// These limit the number of crashes kept, of requests kept for one crash, and of
	// quarantined requests.
	MaxCrashes, MaxRequests, MaxEntries int
	// TrialBackoff is the backoff schedule of trial runs of a quarantined request, by the number of
	// those whose worker crashed; the last delay repeats. Trials release requests that were quarantined only because they shared workers
	// with another one, and requests that a newer version of the worker handles.
	TrialBackoff []time.Duration
	// DeferredBackoff is the backoff schedule of the runs of a quarantined deferred request (see
	// DeferredTrial), indexed like TrialBackoff.
	DeferredBackoff []time.Duration
	// IdleTimeout is how long a quarantined request is kept after its last arrival.
	IdleTimeout time.Duration

	Fault Fault // injected by tests
}

// Fault is a defect that tests inject to show that their checks can fail.
type Fault string

// Faults that tests inject.
const (
	FaultNone            Fault = ""
	FaultIgnoreSurvivals Fault = "ignore-survivals" // surviving runs are ignored
	FaultNoTrial         Fault = "no-trial"         // no trial run is granted
	FaultUnbounded       Fault = "unbounded"        // limits are not enforced
)

const (
	// defaultCrashThreshold is as many crashes under one request as users accept.
	defaultCrashThreshold = 3
	// answeredExtraCrashes is added to the threshold when some of the runs had begun to respond.
	answeredExtraCrashes = 1
	// burstWindow is the time between two crashes with a common cause, with the time until each is
	// noticed.
	burstWindow = 500 * time.Millisecond
	// minBurst is the number of crashes beside those of a request that make a burst, where each of
	// the latter is strong evidence: one is a coincidence.
	minBurst = 2
	// weakBurstRatio is the number of crashes that are weak evidence for which one beside them makes a burst.
	weakBurstRatio = 6
	// defaultReportWindow covers the delay of a worker probe, the delivery of its report, and
	// one exchange in which other processes report surviving runs.
	defaultReportWindow = time.Second
	// defaultCrashTTL covers a request that is repeated every few minutes.
	defaultCrashTTL = 10 * time.Minute
	// A crash takes about 60 bytes per request, at most 8 MB in all, which is
	// seldom reached.
	defaultMaxCrashes  = 512
	defaultMaxRequests = 256
	defaultMaxEntries  = 1024
	defaultIdleTimeout = time.Hour
)

const (
	// TrialLease is how long a granted trial run is reserved for the process that asked for it. It
	// covers the wait for a slot and most runs.
	TrialLease        = 10 * time.Second
	maxLeaseDoublings = 5
)

// defaultTrialBackoff starts with about the time that crashed workers need to restart, so that
// requests that only shared a worker are released soon. The later delays limit how many
// workers a request crashes while it stays quarantined.
var defaultTrialBackoff = []time.Duration{2 * time.Second, 5 * time.Minute, 30 * time.Minute, time.Hour}

// defaultDeferredBackoff is short, since deferred requests are owed. The last delay bounds the workers
// that such a request crashes to one in that time.
var defaultDeferredBackoff = []time.Duration{2 * time.Second, 5 * time.Second}

const (
	// deferredRampInterval is the time in which the number of granted deferred runs may double. A crash
	// is reported within it.
	deferredRampInterval = time.Second
	// minDeferredWait is the shortest wait that is returned.
	minDeferredWait = 100 * time.Millisecond
)

func (s Settings) withDefaults() Settings {
	setDefault(&s.CrashThreshold, defaultCrashThreshold)
	setDefault(&s.ReportWindow, defaultReportWindow)
	setDefault(&s.CrashTTL, defaultCrashTTL)
	setDefault(&s.MaxCrashes, defaultMaxCrashes)
	setDefault(&s.MaxRequests, defaultMaxRequests)
	setDefault(&s.MaxEntries, defaultMaxEntries)
	if len(s.TrialBackoff) == 0 {
		s.TrialBackoff = defaultTrialBackoff
	}
	if len(s.DeferredBackoff) == 0 {
		s.DeferredBackoff = defaultDeferredBackoff
	}
	setDefault(&s.IdleTimeout, defaultIdleTimeout)
	return s
}

func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}
