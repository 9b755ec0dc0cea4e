package api

// Headers of the public and the internal protocol.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderBackendIdempotencyKey carries the idempotency key between processes and to back
	// ends. With HeaderIdempotencyKey set, net/http may retry a request by itself.
	HeaderBackendIdempotencyKey = "Dykewing-Idempotency-Key"
	HeaderRepeatable            = "Dykewing-Repeatable" // "true" or "false"
	// HeaderAssignedRequestID returns to the caller the unique id assigned to the request,
	// which between processes and at back ends is HeaderRequestID.
	HeaderAssignedRequestID = "Dykewing-Request-Id"
	HeaderReplayed          = "Dykewing-Replayed" // "true" on a recorded response
	HeaderOutcome           = "Dykewing-Outcome"
	HeaderTenant            = "Dykewing-Tenant"
	HeaderClass             = "Dykewing-Class"
	HeaderService           = "Dykewing-Service"
	HeaderPlace             = "Dykewing-Place"
	HeaderWorker            = "Dykewing-Worker"
	HeaderDeadline          = "Dykewing-Deadline-Ms" // remaining milliseconds, independent of clock differences
	HeaderExcluded          = "Dykewing-Excluded"    // workers at which earlier attempts failed, separated by ExcludedSeparator
	HeaderAttempt           = "Dykewing-Attempt"     // only on retries: 2 or more
	HeaderResume            = "Dykewing-Resume"      // "true": the engine ran part of this request before
	HeaderHops              = "Dykewing-Hops"        // number of routers passed
	HeaderTableRevision     = "Dykewing-Table-Revision"
)

// ExcludedSeparator separates the names in HeaderExcluded.
const ExcludedSeparator = ","

// Paths of the internal protocol, served by every role unless noted otherwise.
const (
	PathInternal = "/internal/v1/"
	PathGossip   = PathInternal + "gossip"   // POST membership.Exchange
	PathTable    = PathInternal + "table"    // GET TableDelta, ?after=revision
	PathEdits    = PathTable + "/edits"      // POST TableEdit, returns EditResult
	PathHistory  = PathTable + "/history"    // GET []EditRecord
	PathRequests = PathInternal + "requests" // POST, router: followed by the caller's path
	PathResumes  = PathInternal + "resumes/" // GET, router: {request}?from=event
	PathClaims   = PathInternal + "claims/"  // GET, sidecar: 404 unless {request} is in progress here
	PathGroups   = PathInternal + "groups/"  // store: {group}/messages, {group}/commands, {group}/claims...
	PathNodes    = PathInternal + "nodes"    // GET []Node
	PathShares   = PathInternal + "shares"   // POST quota messages, router
)
