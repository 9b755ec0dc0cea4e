package jobs

import (
	"time"

	"github.com/dykewing/dykewing/api"
)

// Limits of one Grant.
const (
	maxGrantItems = 512
	maxGrantBytes = 4 << 20
)

// DispatcherSettings configure a Dispatcher.
type DispatcherSettings struct {
	// Term is the leader's term. Grants of a later term have a higher epoch.
	Term uint64
	// GrantLifetime is how long a grant is valid without renewal.
	GrantLifetime time.Duration
	// AdoptWait is how long a new leader issues no grants, so that routers can renew
	// grants of the previous leader and their items run only once.
	AdoptWait time.Duration
	// MaxAttempts is how often an item may fail before its last answer
	// becomes its result.
	MaxAttempts int
	// Backoff is the delay before a failed item is granted again. It doubles
	// with each attempt up to a maximum.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// UnknownServiceGrace is how long items wait for a service that is missing
	// from the table before they fail.
	UnknownServiceGrace time.Duration
	// Retention is how long ended jobs, files and claims are kept, and
	// UploadRetention how long unsealed uploads are.
	Retention       time.Duration
	UploadRetention time.Duration
	// SweepInterval is how often expired data is deleted.
	SweepInterval time.Duration
	Faults        Faults
}

// DefaultDispatcherSettings are suitable for a group within one region.
func DefaultDispatcherSettings() DispatcherSettings {
	return DispatcherSettings{
		GrantLifetime: time.Minute, AdoptWait: 200 * time.Millisecond,
		MaxAttempts: 8, Backoff: 500 * time.Millisecond, MaxBackoff: time.Minute,
		UnknownServiceGrace: time.Minute,
		Retention:           30 * 24 * time.Hour, UploadRetention: 24 * time.Hour, SweepInterval: time.Minute,
	}
}

// DispatcherMessage is an input of Dispatcher.Step.
type DispatcherMessage interface{ dispatchMessage() }

// ClaimArrived asks for items. The answer, a Grant, follows at once or when work
// arrives.
type ClaimArrived struct {
	Token uint64
	Claim ClaimItems
}

// ClaimWithdrawn withdraws a claim whose caller has gone away.
type ClaimWithdrawn struct{ Token uint64 }

// ItemsReturned returns items without a result, after the releases of the same Settle
// were committed. The answer is a Notice.
type ItemsReturned struct {
	Token    uint64
	Router   api.NodeID
	Returned []ReturnedItem
}

// RenewArrived renews grants. The answer is a Notice.
type RenewArrived struct {
	Token uint64
	Renew Renew
}

// CommandApplied reports a command that was applied while this replica leads.
type CommandApplied struct {
	Command Command
	Result  Result
}

// KnownServices lists the services in the current table.
type KnownServices struct{ Services []api.ServiceName }

// DispatcherTick drives timeouts. The caller sends it several times a second.
type DispatcherTick struct{}

func (ClaimArrived) dispatchMessage()   {}
func (ClaimWithdrawn) dispatchMessage() {}
func (ItemsReturned) dispatchMessage()  {}
func (RenewArrived) dispatchMessage()   {}
func (CommandApplied) dispatchMessage() {}
func (KnownServices) dispatchMessage()  {}
func (DispatcherTick) dispatchMessage() {}

// DispatcherAction is an output of Dispatcher.Step, which the caller executes.
type DispatcherAction interface{ dispatchAction() }

// AnswerClaim answers ClaimArrived.
type AnswerClaim struct {
	Token uint64
	Grant Grant
}

// AnswerNotice answers ItemsReturned and RenewArrived.
type AnswerNotice struct {
	Token  uint64
	Notice Notice
}

// ProposeCommand asks the caller to propose a command to the log. The proposal
// may be lost: the Dispatcher repeats it as long as necessary.
type ProposeCommand struct{ Command Command }

// DispatcherFailed reports that the state could not be read. The replica must give
// up leadership.
type DispatcherFailed struct{ Err error }

func (AnswerClaim) dispatchAction()      {}
func (AnswerNotice) dispatchAction()     {}
func (ProposeCommand) dispatchAction()   {}
func (DispatcherFailed) dispatchAction() {}
