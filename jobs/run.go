package jobs

import (
	"time"

	"github.com/dykewing/dykewing/api"
)

// RunnerSettings set a Runner.
type RunnerSettings struct {
	Router api.NodeID
	// ClaimWait is how long a claim waits at a leader without work.
	ClaimWait time.Duration
	// SettleInterval is how long results are gathered for one message.
	SettleInterval time.Duration
	// RenewInterval between renewals of the grants that are held.
	RenewInterval time.Duration
	// RetryInterval before a message that was not answered is sent again.
	RetryInterval time.Duration
	// HoldTime is how long a granted item may wait for room here.
	HoldTime time.Duration
	// Lookahead: as many items are held in advance as will end within it, so
	// that room is filled at once and a claim brings several.
	Lookahead time.Duration
	// MaximumUnsettledBytes bounds the results that are kept while no leader
	// takes them; beyond it no new items are run.
	MaximumUnsettledBytes int
	// NewRequestID names a request; chance comes only from here.
	NewRequestID func() api.RequestID
	Faults       RunnerFaults
}

// RunnerFaults plant defects, to show that the checks of tests can fail.
type RunnerFaults struct {
	SendBeforeStart bool // a non-repeatable item is sent before its start is committed
}

// DefaultRunnerSettings suit engines that answer in seconds.
func DefaultRunnerSettings() RunnerSettings {
	return RunnerSettings{
		ClaimWait: 10 * time.Second, SettleInterval: 50 * time.Millisecond, RenewInterval: time.Second,
		RetryInterval: 100 * time.Millisecond, HoldTime: time.Second, Lookahead: 100 * time.Millisecond,
		MaximumUnsettledBytes: 16 << 20,
	}
}

// Bounds of one Settle.
const (
	maximumSettleItems = 256
	maximumSettleBytes = 4 << 20
)

// RunnerMessage is what a Runner is stepped with.
type RunnerMessage interface{ runnerMessage() }

// Leaders tells which leader each group has and what waits there, from the
// heartbeats.
type Leaders struct{ Groups []GroupLeader }

// GroupLeader is a group as its leader reports it.
type GroupLeader struct {
	Group   api.GroupID
	Leader  api.NodeID
	Term    uint64
	Waiting []api.ServiceBacklog
}

// Rooms tells how many batch requests of each row could start now, 0 for a full row; it replaces
// what was known. The shell sends it at least several times a second and when
// a batch request ends.
type Rooms struct{ Rooms []ClaimWant }

// GrantArrived answers SendClaim. Failed ones have no grant.
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

// StartAnswer is what became of a start.
type StartAnswer int

// The answers to a start.
const (
	StartCommitted StartAnswer = iota
	StartRefused               // it will never be committed
	StartUnknown               // ask again
)

// ItemAdmitted says that a run's request counts in Rooms from now on.
type ItemAdmitted struct{ Request api.RequestID }

// ItemFinished ends a run.
type ItemFinished struct {
	Request api.RequestID
	// Result is the item's answer; nil when it came back without one.
	Result *ItemResult
	// Returned tells why there is no result; Item and Epoch may be empty.
	Returned ReturnedItem
	// Outcome of a run without a result.
	Outcome api.Outcome
}

// SettleAnswered answers SendSettle.
type SettleAnswered struct {
	Group  api.GroupID
	Serial uint64
	Notice Notice
	Failed bool
	// Refused: the leader will never take this report as it is.
	Refused bool
}

// RenewAnswered answers SendRenew.
type RenewAnswered struct {
	Group  api.GroupID
	Notice Notice
	Failed bool
}

// RunnerTick lets time pass; the shell sends it every few milliseconds while
// there are items, and several times a second otherwise.
type RunnerTick struct{}

// Stopping begins a planned stop: nothing is claimed, what waits goes back.
type Stopping struct{}

func (Leaders) runnerMessage()        {}
func (Rooms) runnerMessage()          {}
func (GrantArrived) runnerMessage()   {}
func (StartAnswered) runnerMessage()  {}
func (ItemAdmitted) runnerMessage()   {}
func (ItemFinished) runnerMessage()   {}
func (SettleAnswered) runnerMessage() {}
func (RenewAnswered) runnerMessage()  {}
func (RunnerTick) runnerMessage()     {}
func (Stopping) runnerMessage()       {}

// RunnerAction is what a Runner asks for. Each Send goes to the leader that the
// shell knows for the group, and is answered once.
type RunnerAction interface{ runnerAction() }

// SendClaim asks a leader for items.
type SendClaim struct {
	Group  api.GroupID
	Leader api.NodeID
	Serial uint64
	Claim  ClaimItems
}

// SendStart commits the start of a non-repeatable item.
type SendStart struct {
	Group  api.GroupID
	Leader api.NodeID
	Start  Start
}

// RunItem sends the item to a worker, under the request's id.
type RunItem struct {
	Request api.RequestID
	Item    GrantedItem
}

// CancelItem cancels a run at its worker; ItemFinished still follows.
type CancelItem struct{ Request api.RequestID }

// SendSettle reports to a leader.
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
