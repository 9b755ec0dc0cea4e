package jobs

import (
	"time"

	"github.com/dykewing/dykewing/api"
)

// RunnerSettings configure a Runner.
type RunnerSettings struct {
	Router api.NodeID
	// ClaimWait is how long a claim waits at a leader without work.
	ClaimWait time.Duration
	// SettleInterval is how long results are collected before they are reported.
	SettleInterval time.Duration
	// RenewInterval is how often held grants are renewed.
	RenewInterval time.Duration
	// RetryInterval is the delay before a failed message is sent again.
	RetryInterval time.Duration
	// MaxHoldTime is how long a granted item may wait for room at this router.
	MaxHoldTime time.Duration
	// Lookahead makes the router claim in advance as many items as are expected to end
	// within it, so that room is filled at once and a claim returns several items.
	Lookahead time.Duration
	// MaxUnsettledBytes limits the size of the results that no leader has accepted
	// yet. Above it no further items are claimed or run.
	MaxUnsettledBytes int
	// NewRequestID generates a unique request ID. It is the only source of randomness.
	NewRequestID func() api.RequestID
	Faults       RunnerFaults
}

// RunnerFaults are injected faults that verify that the tests detect violations. The
// zero value injects none.
type RunnerFaults struct {
	SendBeforeStart bool // a non-repeatable item is sent before its start is committed
}

// DefaultRunnerSettings are suitable for engines that answer within seconds. Router and
// NewRequestID are left unset.
func DefaultRunnerSettings() RunnerSettings {
	return RunnerSettings{
		ClaimWait: 10 * time.Second, SettleInterval: 50 * time.Millisecond, RenewInterval: time.Second,
		RetryInterval: 100 * time.Millisecond, MaxHoldTime: time.Second, Lookahead: 100 * time.Millisecond,
		MaxUnsettledBytes: 16 << 20,
	}
}

// Limits of one Settle.
const (
	maxSettleItems = 256
	maxSettleBytes = 4 << 20
)

// RunnerMessage is an input of Runner.Step.
type RunnerMessage interface{ runnerMessage() }

// Leaders lists the known leader of each group and its backlog, from the heartbeats.
type Leaders struct{ Groups []GroupLeader }

// GroupLeader is the state of a group as reported by its leader.
type GroupLeader struct {
	Group   api.GroupID
	Leader  api.NodeID
	Term    uint64
	Backlog []api.ServiceBacklog
}

// Capacity is the number of batch requests that could start now, by row, with 0 for a full
// one. It replaces what was reported before. The caller sends it several times a second
// and when a batch request ends.
type Capacity struct{ Rows []RowCapacity }

// GrantArrived answers SendClaim. Grant is empty if Failed is set.
type GrantArrived struct {
	Group  api.GroupID
	Serial uint64
	Grant  Grant
	Failed bool
}

// StartAnswered answers SendStart.
type StartAnswered struct {
	Request api.RequestID
	Answer  StartAnswer
}

// StartAnswer is the outcome of SendStart.
type StartAnswer int

// The outcomes of SendStart.
const (
	StartCommitted StartAnswer = iota
	StartRefused               // it will never be committed
	StartUnknown               // the outcome is not known: send it again
)

// ItemAdmitted reports that a request is running, and that the room reported from now
// on takes it into account.
type ItemAdmitted struct{ Request api.RequestID }

// ItemFinished reports the end of a run.
type ItemFinished struct {
	Request api.RequestID
	// Result is the item's result; nil if it was returned without one.
	Result *ItemResult
	// Returned has the reason for the return if Result is nil. Item and Epoch may be
	// left empty.
	Returned ReturnedItem
	// Outcome of the request if Result is nil.
	Outcome api.Outcome
}

// SettleAnswered answers SendSettle.
type SettleAnswered struct {
	Group  api.GroupID
	Serial uint64
	Notice Notice
	Failed bool
	// Refused is set if the leader will never accept this report as it is.
	Refused bool
}

// RenewAnswered answers SendRenew.
type RenewAnswered struct {
	Group  api.GroupID
	Notice Notice
	Failed bool
}

// RunnerTick drives timeouts. The caller sends it every few milliseconds while there
// are items, and several times a second otherwise.
type RunnerTick struct{}

// Shutdown begins a graceful shutdown: no items are claimed, and held ones are
// returned.
type Shutdown struct{}

func (Leaders) runnerMessage()        {}
func (Capacity) runnerMessage()       {}
func (GrantArrived) runnerMessage()   {}
func (StartAnswered) runnerMessage()  {}
func (ItemAdmitted) runnerMessage()   {}
func (ItemFinished) runnerMessage()   {}
func (SettleAnswered) runnerMessage() {}
func (RenewAnswered) runnerMessage()  {}
func (RunnerTick) runnerMessage()     {}
func (Shutdown) runnerMessage()       {}

// RunnerAction is an output of Runner.Step, which the caller executes. Each Send action
// is sent to the given leader and answered exactly once.
type RunnerAction interface{ runnerAction() }

// SendClaim claims items from a leader.
type SendClaim struct {
	Group  api.GroupID
	Leader api.NodeID
	Serial uint64
	Claim  ClaimItems
}

// SendStart asks a leader to commit the start of a non-repeatable item.
type SendStart struct {
	Group  api.GroupID
	Leader api.NodeID
	Start  Start
}

// RunItem sends an item to a worker under the request ID.
type RunItem struct {
	Request api.RequestID
	Item    GrantedItem
}

// CancelItem cancels a run at its worker. ItemFinished is still expected.
type CancelItem struct{ Request api.RequestID }

// SendSettle reports results and returned items to a leader.
type SendSettle struct {
	Group  api.GroupID
	Leader api.NodeID
	Serial uint64
	Settle Settle
}

// SendRenew renews grants at a leader.
type SendRenew struct {
	Group  api.GroupID
	Leader api.NodeID
	Renew  Renew
}

func (SendClaim) runnerAction()  {}
func (SendStart) runnerAction()  {}
func (RunItem) runnerAction()    {}
func (CancelItem) runnerAction() {}
func (SendSettle) runnerAction() {}
func (SendRenew) runnerAction()  {}
