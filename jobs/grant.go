package jobs

import (
	"encoding/json"
	"time"

	"github.com/dykewing/dykewing/api"
)

// ClaimItems is a router's wish for work.
type ClaimItems struct {
	Router api.NodeID  `json:"router"`
	Wants  []ClaimWant `json:"wants"`
	WaitMs int         `json:"wait_ms"` // how long to wait for the first item
}

// ClaimWant is the idle room of one row.
type ClaimWant struct {
	Service api.ServiceName `json:"service"`
	Place   api.PlaceName   `json:"place"`
	Room    int             `json:"room"`
}

// Grant answers ClaimItems.
type Grant struct {
	Items []GrantedItem `json:"items"`
	// Cancelled lists jobs whose items the router should stop.
	Cancelled []JobID `json:"cancelled,omitempty"`
}

// GrantedItem is one item to run. The grant ends after LifetimeMs; running on
// costs repeated work but never gives a second result.
type GrantedItem struct {
	Item       ItemRef         `json:"item"`
	Epoch      uint64          `json:"epoch"` // fences older grants of the item
	CustomID   string          `json:"custom_id"`
	Tenant     api.TenantID    `json:"tenant"`
	Service    api.ServiceName `json:"service"`
	Place      api.PlaceName   `json:"place"`
	Path       string          `json:"path"`
	Body       json.RawMessage `json:"body"`
	Repeatable bool            `json:"repeatable"`
	Deadline   time.Time       `json:"deadline"`
	LifetimeMs int64           `json:"lifetime_ms"`
	// LastAttempt: a failed answer stands as the item's result.
	LastAttempt bool `json:"last_attempt,omitempty"`
}

// Settle is a router's report on granted items. Results and the releases of
// started items go through the log.
type Settle struct {
	Router   api.NodeID     `json:"router"`
	Results  []ItemResult   `json:"results,omitempty"`
	Returned []ReturnedItem `json:"returned,omitempty"`
}

// Command is what of the report goes through the log; false when nothing does.
func (s Settle) Command() (Command, bool) {
	complete := Complete{Results: s.Results}
	for _, returned := range s.Returned {
		if returned.Request != "" {
			complete.Released = append(complete.Released, Release{Item: returned.Item, Request: returned.Request})
		}
	}
	return Command{Complete: &complete}, len(complete.Results)+len(complete.Released) > 0
}

// ReturnReason tells why an item came back without a result.
type ReturnReason string

// The reasons. Only ReturnFailed counts against the item's attempts.
const (
	ReturnPreempted ReturnReason = "preempted" // online work took the room
	ReturnNoRoom    ReturnReason = "no_room"   // the router or the engine had none (429, 503)
	ReturnFailed    ReturnReason = "failed"    // an answer of 500 or more, or a broken one
)

// ReturnedItem waits again.
type ReturnedItem struct {
	Item    ItemRef       `json:"item"`
	Epoch   uint64        `json:"epoch"`
	Reason  ReturnReason  `json:"reason"`
	Request api.RequestID `json:"request,omitempty"` // of a started item that did not run
	Status  int           `json:"status,omitempty"`  // of the answer
	Error   string        `json:"error,omitempty"`
	// RetryAfterMs is the engine's advice.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

// Renew lengthens a router's grants, also those of an earlier leader.
type Renew struct {
	Router api.NodeID     `json:"router"`
	Items  []RenewedGrant `json:"items"`
}

// RenewedGrant names a grant.
type RenewedGrant struct {
	Item  ItemRef `json:"item"`
	Epoch uint64  `json:"epoch"`
}

// Notice answers Settle and Renew: what the router should stop.
type Notice struct {
	// Cancelled lists jobs that take no more results of repeatable items.
	Cancelled []JobID `json:"cancelled,omitempty"`
	// Lost lists items that were granted to another router or have ended.
	Lost []ItemRef `json:"lost,omitempty"`
}
