package jobs

import (
	"encoding/json"
	"time"

	"github.com/dykewing/dykewing/api"
)

// ClaimItems is a router's request for work.
type ClaimItems struct {
	Router api.NodeID    `json:"router"`
	Rows   []RowCapacity `json:"wants"`
	WaitMs int           `json:"wait_ms"` // maximum wait for the first item
}

// RowCapacity is the number of items that a router can run on one row.
type RowCapacity struct {
	Service api.ServiceName `json:"service"`
	Place   api.PlaceName   `json:"place"`
	Slots   int             `json:"room"`
}

// Grant answers ClaimItems.
type Grant struct {
	Items []GrantedItem `json:"items"`
	// Cancelled lists jobs whose repeatable items the router should stop.
	Cancelled []JobID `json:"cancelled,omitempty"`
}

// GrantedItem is an item to run. The grant expires after LifetimeMs without renewal.
// A repeatable item that keeps running may then run twice, but has only one result.
type GrantedItem struct {
	Item       ItemRef         `json:"item"`
	Epoch      uint64          `json:"epoch"` // fencing token: higher for later grants
	CustomID   string          `json:"custom_id"`
	Tenant     api.TenantID    `json:"tenant"`
	Service    api.ServiceName `json:"service"`
	Place      api.PlaceName   `json:"place"`
	Path       string          `json:"path"`
	Body       json.RawMessage `json:"body"`
	Repeatable bool            `json:"repeatable"`
	Deadline   time.Time       `json:"deadline"`
	LifetimeMs int64           `json:"lifetime_ms"`
	// LastAttempt is set if a failed answer becomes the item's result.
	LastAttempt bool `json:"last_attempt,omitempty"`
}

// Settle is a router's report on granted items. Results and releases of started items
// are committed to the log.
type Settle struct {
	Router   api.NodeID     `json:"router"`
	Results  []ItemResult   `json:"results,omitempty"`
	Returned []ReturnedItem `json:"returned,omitempty"`
}

// Command returns the part of the report to commit to the log, and false if there
// is none.
func (s Settle) Command() (Command, bool) {
	complete := Complete{Results: s.Results}
	for _, returned := range s.Returned {
		if returned.Request != "" {
			complete.Released = append(complete.Released, Release{Item: returned.Item, Request: returned.Request})
		}
	}
	return Command{Complete: &complete}, len(complete.Results)+len(complete.Released) > 0
}

// ReturnReason is why an item was returned without a result.
type ReturnReason string

// The reasons for a return. Only ReturnFailed counts as an attempt.
const (
	ReturnPreempted  ReturnReason = "preempted" // displaced by online requests, or cancelled
	ReturnNoCapacity ReturnReason = "no_room"   // no capacity at the router or the engine (429, 503)
	ReturnFailed     ReturnReason = "failed"    // answer with status 500 or above, or incomplete
)

// ReturnedItem is an item returned without a result, which waits again.
type ReturnedItem struct {
	Item    ItemRef       `json:"item"`
	Epoch   uint64        `json:"epoch"`
	Reason  ReturnReason  `json:"reason"`
	Request api.RequestID `json:"request,omitempty"` // set if the item was started and did not run
	Status  int           `json:"status,omitempty"`  // of the answer
	Error   string        `json:"error,omitempty"`
	// RetryAfterMs is the retry delay requested by the engine.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

// Renew extends a router's grants, including those issued by a previous leader.
type Renew struct {
	Router api.NodeID     `json:"router"`
	Items  []RenewedGrant `json:"items"`
}

// RenewedGrant identifies a grant to renew.
type RenewedGrant struct {
	Item  ItemRef `json:"item"`
	Epoch uint64  `json:"epoch"`
}

// Notice answers Settle and Renew with the items that the router should stop.
type Notice struct {
	// Cancelled lists jobs that accept no more results of repeatable items.
	Cancelled []JobID `json:"cancelled,omitempty"`
	// Lost lists items that were granted to another router or have ended.
	Lost []ItemRef `json:"lost,omitempty"`
}
