package api

// Headers of the caller-facing and the internal protocol.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRepeatable     = "Dykewing-Repeatable" // "true" or "false"
	HeaderOutcome        = "Dykewing-Outcome"
	HeaderTenant         = "Dykewing-Tenant"
	HeaderClass          = "Dykewing-Class"
	HeaderService        = "Dykewing-Service"
	HeaderPlace          = "Dykewing-Place"
	HeaderWorker         = "Dykewing-Worker"
	HeaderDeadline       = "Dykewing-Deadline-Ms" // remaining milliseconds, so that clocks need not agree
	HeaderAttempt        = "Dykewing-Attempt"     // 1 for the first
	HeaderHops           = "Dykewing-Hops"        // routers passed so far
	HeaderTableRevision  = "Dykewing-Table-Revision"
)

// Paths of the internal protocol, served by every role unless said otherwise.
const (
	PathInternal = "/internal/v1/"
	PathGossip   = PathInternal + "gossip"   // POST membership.Exchange
	PathTable    = PathInternal + "table"    // GET TableDelta, ?after=revision
	PathRequests = PathInternal + "requests" // POST, router: the caller's path follows
	PathGroups   = PathInternal + "groups/"  // store: {group}/messages, {group}/commands, {group}/claims...
	PathNodes    = PathInternal + "nodes"    // GET []Node
	PathShares   = PathInternal + "shares"   // POST quota messages, router
)

// TableDelta carries rows that are newer than the asked revision.
type TableDelta struct {
	Revision int64          `json:"revision"` // newest that the sender has in force
	Rows     []VersionedRow `json:"rows"`
}
