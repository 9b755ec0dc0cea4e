package jobs

import (
	"time"

	"github.com/dykewing/dykewing/api"
)

// Bounds of one Grant.
const (
	maximumGrantItems = 512
	maximumGrantBytes = 4 << 20
)

// DispatcherSettings set a Dispatcher.
type DispatcherSettings struct {
	// Term of the leadership; later grants have a higher epoch.
	Term uint64
	// Lifetime of a grant that is not renewed.
	Lifetime time.Duration
	// AdoptWait is how long a new leader grants nothing, so that routers can
	// renew the grants of the leader before and their items run only once.
	AdoptWait time.Duration
	// MaximumAttempts bounds how often an item may fail before its last
	// answer stands.
	MaximumAttempts int
	// Backoff before an item that failed is handed out again; it doubles with
	// each attempt up to MaximumBackoff.
	Backoff        time.Duration
	MaximumBackoff time.Duration
	// UnknownServiceGrace is how long items wait for a service that the table
	// does not have, before they end with an error.
	UnknownServiceGrace time.Duration
	// Retention of ended jobs, files and claims, and of unsealed uploads.
	Retention       time.Duration
	UploadRetention time.Duration
	// SweepInterval between looks for what is past its retention.
	SweepInterval time.Duration
	Faults        Faults
}

// DefaultDispatcherSettings suit a group in one region.
func DefaultDispatcherSettings() DispatcherSettings {
	return DispatcherSettings{
		Lifetime: time.Minute, AdoptWait: 200 * time.Millisecond,
		MaximumAttempts: 8, Backoff: 500 * time.Millisecond, MaximumBackoff: time.Minute,
		UnknownServiceGrace: time.Minute,
		Retention:           30 * 24 * time.Hour, UploadRetention: 24 * time.Hour, SweepInterval: time.Minute,
	}
}

// DispatchMessage is what a Dispatcher is stepped with.
type DispatchMessage interface{ dispatchMessage() }

// ClaimArrived asks for items. Granted answers it, at once or when work comes.
type ClaimArrived struct {
	Token uint64
	Claim ClaimItems
}

// ClaimGone says that nobody waits for the claim's answer any more.
type ClaimGone struct{ Token uint64 }

// ItemsReturned brings items back, after the releases in the same Settle were
// committed. Noticed answers it.
type ItemsReturned struct {
	Token    uint64
	Router   api.NodeID
	Returned []ReturnedItem
}

// RenewArrived lengthens grants. Noticed answers it.
type RenewArrived struct {
	Token uint64
	Renew Renew
}

// Applied tells of each command that was applied while this replica leads.
type Applied struct {
	Command Command
	Result  Result
}

// KnownServices tells which services the table in force has.
type KnownServices struct{ Services []api.ServiceName }

// DispatchTick lets time pass; the shell sends it several times a second.
type DispatchTick struct{}

func (ClaimArrived) dispatchMessage()  {}
func (ClaimGone) dispatchMessage()     {}
func (ItemsReturned) dispatchMessage() {}
func (RenewArrived) dispatchMessage()  {}
func (Applied) dispatchMessage()       {}
func (KnownServices) dispatchMessage() {}
func (DispatchTick) dispatchMessage()  {}

// DispatchAction is what a Dispatcher asks for.
type DispatchAction interface{ dispatchAction() }

// Granted answers a claim.
type Granted struct {
	Token uint64
	Grant Grant
}

// Noticed answers ItemsReturned and RenewArrived.
type Noticed struct {
	Token  uint64
	Notice Notice
}

// ProposeCommand asks for a command to be committed. It may be lost: the
// Dispatcher asks again while there is a need.
type ProposeCommand struct{ Command Command }

// DispatchFailed says that the state could not be read: the replica must stop
// leading.
type DispatchFailed struct{ Err error }

func (Granted) dispatchAction()        {}
func (Noticed) dispatchAction()        {}
func (ProposeCommand) dispatchAction() {}
func (DispatchFailed) dispatchAction() {}
