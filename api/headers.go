package api

// Headers of the caller-facing and the internal protocol.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderBackendKey carries the idempotency key between processes and to
	// back ends: net/http may send a request with the usual name twice.
	HeaderBackendKey = "Dykewing-Idempotency-Key"
	HeaderRepeatable = "Dykewing-Repeatable" // "true" or "false"
	// HeaderAttemptID is the unique id that the system gave the request; it
	// is HeaderRequestID between processes and at back ends.
	HeaderAttemptID     = "Dykewing-Request-Id"
	HeaderReplayed      = "Dykewing-Replayed" // "true" on a recorded answer
	HeaderOutcome       = "Dykewing-Outcome"
	HeaderTenant        = "Dykewing-Tenant"
	HeaderClass         = "Dykewing-Class"
	HeaderService       = "Dykewing-Service"
	HeaderPlace         = "Dykewing-Place"
	HeaderWorker        = "Dykewing-Worker"
	HeaderDeadline      = "Dykewing-Deadline-Ms" // remaining milliseconds, so that clocks need not agree
	HeaderExcluded      = "Dykewing-Excluded"    // workers that earlier attempts failed at, comma-separated
	HeaderAttempt       = "Dykewing-Attempt"     // only on a retry: 2 or more
	HeaderResume        = "Dykewing-Resume"      // "true": to an engine that ran a part of the request before
	HeaderHops          = "Dykewing-Hops"        // routers passed so far
	HeaderTableRevision = "Dykewing-Table-Revision"
)

// ExcludedSeparator parts the names in HeaderExcluded.
const ExcludedSeparator = ","

// Paths of the internal protocol, served by every role unless said otherwise.
const (
	PathInternal = "/internal/v1/"
	PathGossip   = PathInternal + "gossip"   // POST membership.Exchange
	PathTable    = PathInternal + "table"    // GET TableDelta, ?after=revision
	PathEdits    = PathTable + "/edits"      // POST TableEdit, answers EditResult
	PathHistory  = PathTable + "/history"    // GET []EditRecord
	PathRequests = PathInternal + "requests" // POST, router: the caller's path follows
	PathResumes  = PathInternal + "resumes/" // GET, router: {request}?from=event
	PathClaims   = PathInternal + "claims/"  // GET, sidecar: {request} is worked on here, or 404
	PathGroups   = PathInternal + "groups/"  // store: {group}/messages, {group}/commands, {group}/claims...
	PathNodes    = PathInternal + "nodes"    // GET []Node
	PathShares   = PathInternal + "shares"   // POST quota messages, router
)
