package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// OwnerMessage is an input of an Owner's Step.
type OwnerMessage interface{ ownerMessage() }

// BecameLeader reports that this replica has become the leader of its group in term Epoch and has
// applied all entries of earlier leaders. Holders are the registered holders.
type BecameLeader struct {
	Epoch   uint64
	Holders []api.NodeID
}

// LostLeadership reports that this replica is no longer the leader.
type LostLeadership struct{}

// OwnerCeilings replaces the ceilings of all rows.
type OwnerCeilings struct{ Rows map[api.RowKey]Ceiling }

// ReportReceived delivers a holder's report. The action that answers it carries the same Token.
type ReportReceived struct {
	Token  uint64
	Report Report
}

// LeadershipConfirmed reports that a quorum has confirmed this replica as the leader of Epoch,
// in a round that began after the reports up to Token had arrived.
type LeadershipConfirmed struct {
	Token uint64
	Epoch uint64
}

// HolderRegistered reports that the registration of a holder was committed in Epoch.
type HolderRegistered struct {
	Epoch  uint64
	Router api.NodeID
}

func (BecameLeader) ownerMessage()        {}
func (LostLeadership) ownerMessage()      {}
func (OwnerCeilings) ownerMessage()       {}
func (ReportReceived) ownerMessage()      {}
func (LeadershipConfirmed) ownerMessage() {}
func (HolderRegistered) ownerMessage()    {}

// OwnerAction is an output of an Owner's Step.
type OwnerAction interface{ ownerAction() }

// ConfirmLeadership asks the caller to confirm the leadership with a quorum, in a round that begins
// now.
type ConfirmLeadership struct{ Token uint64 }

// RegisterHolder asks the caller to commit the registration of a holder, so that later leaders
// know which holders may have shares.
type RegisterHolder struct{ Router api.NodeID }

// SendGrant asks the caller to send the grant to the holder that reported with Token, or to
// refuse the report since this replica is not the leader.
type SendGrant struct {
	Token     uint64
	Grant     Grant
	NotLeader bool
}

func (ConfirmLeadership) ownerAction() {}
func (RegisterHolder) ownerAction()    {}
func (SendGrant) ownerAction()         {}

// Owner grants shares of the rows of one group while its replica is the leader. It is a
// state machine without I/O or a clock, and is not safe for concurrent use.
type Owner struct {
	settings     Settings
	leading      bool
	epoch        uint64
	unheardUntil time.Time // until then requests of holders not heard from may run
	ceilings     map[api.RowKey]Ceiling
	holders      map[api.NodeID]*holderState
	unheard      int // registered holders not heard from in this epoch
	rows         map[api.RowKey]*rowState
	pending      []ReportReceived // reports waiting for confirmation, oldest first
}

// holderState is the state of one registered holder.
type holderState struct {
	instance   uint64
	sequence   uint64
	heard      bool // has seen this epoch
	lastReport time.Time
}

// NewOwner returns an Owner that is not the leader.
func NewOwner(settings Settings) *Owner {
	return &Owner{settings: settings, ceilings: map[api.RowKey]Ceiling{}}
}

// Step handles one message and returns the actions that the caller has to carry out.
func (o *Owner) Step(now time.Time, message OwnerMessage) []OwnerAction {
	switch message := message.(type) {
	case BecameLeader:
		return o.becomeLeader(now, message)
	case LostLeadership:
		return o.stepDown()
	case OwnerCeilings:
		o.ceilings = message.Rows
	case ReportReceived:
		return o.receive(now, message)
	case LeadershipConfirmed:
		return o.confirmed(now, message)
	case HolderRegistered:
		o.registered(now, message)
	}
	return nil
}

// becomeLeader starts an epoch. Of earlier epochs it knows only which holders may have shares. A
// holder that reports states its shares and applies no grant of an earlier epoch any more.
// One that does not report may have been granted a share up to the election, since the
// quorum that elected this replica intersects every quorum that confirmed an earlier owner.
// That share expires one TTL later, and the last request admitted under it ends within the
// maximum run time after that.
func (o *Owner) becomeLeader(now time.Time, led BecameLeader) []OwnerAction {
	actions := o.stepDown()
	wait := o.settings.ShareTTL + o.settings.DriftMargin
	if o.settings.Fault == FaultNoWait {
		wait = 0
	}
	o.leading, o.epoch = true, led.Epoch
	o.unheardUntil = now.Add(wait + o.settings.MaxRunTime)
	o.holders = map[api.NodeID]*holderState{}
	o.rows = map[api.RowKey]*rowState{}
	for _, router := range led.Holders {
		o.holders[router] = &holderState{lastReport: now}
	}
	o.unheard = len(o.holders)
	return actions
}

func (o *Owner) stepDown() []OwnerAction {
	o.leading = false
	var actions []OwnerAction
	for _, waiting := range o.pending {
		actions = append(actions, SendGrant{Token: waiting.Token, NotLeader: true})
	}
	o.pending = nil
	return actions
}

func (o *Owner) receive(now time.Time, reported ReportReceived) []OwnerAction {
	if !o.leading {
		return []OwnerAction{SendGrant{Token: reported.Token, NotLeader: true}}
	}
	if _, ok := o.holders[reported.Report.Router]; !ok {
		return []OwnerAction{
			RegisterHolder{Router: reported.Report.Router},
			SendGrant{Token: reported.Token, Grant: o.emptyGrant(reported.Report)},
		}
	}
	o.pending = append(o.pending, reported)
	if o.settings.Fault == FaultNoConfirm {
		return o.confirmed(now, LeadershipConfirmed{Token: reported.Token, Epoch: o.epoch})
	}
	return []OwnerAction{ConfirmLeadership{Token: reported.Token}}
}

func (o *Owner) emptyGrant(report Report) Grant {
	return Grant{Epoch: o.epoch, Instance: report.Instance, Sequence: report.Sequence}
}

// registered adds a holder that has no grants of earlier owners.
func (o *Owner) registered(now time.Time, message HolderRegistered) {
	if !o.leading || message.Epoch != o.epoch || o.holders[message.Router] != nil {
		return
	}
	o.holders[message.Router] = &holderState{heard: true, lastReport: now}
}

// confirmed answers the reports that had arrived when the confirmed round began.
func (o *Owner) confirmed(now time.Time, confirmed LeadershipConfirmed) []OwnerAction {
	if !o.leading || confirmed.Epoch != o.epoch {
		return nil
	}
	var actions []OwnerAction
	for len(o.pending) > 0 && o.pending[0].Token <= confirmed.Token {
		waiting := o.pending[0]
		o.pending = o.pending[1:]
		actions = append(actions, SendGrant{Token: waiting.Token, Grant: o.grant(now, waiting.Report)})
	}
	return actions
}

// grant applies a report and returns the resulting shares.
func (o *Owner) grant(now time.Time, report Report) Grant {
	grant := o.emptyGrant(report)
	if !o.applyReport(now, report) || !o.holders[report.Router].heard {
		return grant
	}
	for _, row := range report.Rows {
		ceiling := o.ceilings[api.RowKey(row.Key)]
		share := Share{Unknown: !ceiling.Bounded()}
		if ceiling.Concurrency > 0 {
			share.Concurrency = o.concurrency(now, report, row, ceiling.Concurrency)
		}
		if ceiling.Rate > 0 {
			share.Tokens = o.tokens(now, row, ceiling.Rate)
		}
		grant.Shares = append(grant.Shares, share)
	}
	return grant
}

// applyReport records a holder's report, and returns false if it is stale.
func (o *Owner) applyReport(now time.Time, report Report) bool {
	holder := o.holders[report.Router]
	if report.Instance < holder.instance || (report.Instance == holder.instance && report.Sequence <= holder.sequence) {
		return false
	}
	if report.Instance > holder.instance {
		o.removeInstance(report.Router, holder)
	}
	holder.instance, holder.sequence, holder.lastReport = report.Instance, report.Sequence, now
	o.markHeard(now, holder, report)
	reported := map[api.RowKey]RowReport{}
	for _, row := range report.Rows {
		key := api.RowKey(row.Key)
		reported[key] = row
		o.row(now, key).share(report.Router)
	}
	for key, row := range o.rows {
		share, ok := row.shares[report.Router]
		if !ok {
			continue
		}
		entry, ok := reported[key]
		if !ok {
			entry.Ended = report.Ended
		}
		share.applyReport(now, entry)
		if o.settings.Fault == FaultForgetInUse {
			share.inFlight = 0
		}
		row.updateTotal(now, share, o.settings)
		if !ok && len(share.grants) == 0 {
			row.remove(report.Router)
		}
	}
	return true
}

// removeInstance removes the shares of an earlier process of the router: its requests
// ended with its connections.
func (o *Owner) removeInstance(router api.NodeID, holder *holderState) {
	if holder.instance == 0 {
		return
	}
	for _, row := range o.rows {
		row.remove(router)
	}
}

// markHeard marks the holder as heard from once it has seen this epoch. Its requests in
// flight, and its share of an earlier epoch, are then all that it can use without grants of
// this owner.
func (o *Owner) markHeard(now time.Time, holder *holderState, report Report) {
	if holder.heard || report.Epoch != o.epoch {
		return
	}
	holder.heard = true
	o.unheard--
	for _, row := range report.Rows {
		state := o.row(now, api.RowKey(row.Key))
		state.accounted += max(row.InFlight, row.Share)
		if row.Share == 0 {
			continue
		}
		share := state.share(report.Router)
		share.grants = append(share.grants, grantRecord{
			sequence: row.Ended + 1, concurrency: row.Share, expires: now.Add(o.settings.ShareTTL + o.settings.DriftMargin),
		})
	}
}

// ExpiredHolders lists the registered holders that have not reported for so long that none of their
// requests can still run, sorted. The caller should commit their removal.
func (o *Owner) ExpiredHolders(now time.Time) []api.NodeID {
	var expired []api.NodeID
	if !o.leading {
		return nil
	}
	for router, holder := range o.holders {
		if now.Sub(holder.lastReport) > 2*(o.settings.ShareTTL+o.settings.DriftMargin)+o.settings.MaxRunTime {
			expired = append(expired, router)
		}
	}
	slices.SortFunc(expired, func(a, b api.NodeID) int { return cmp.Compare(a, b) })
	return expired
}

// RemoveHolder removes a holder after its removal was committed.
func (o *Owner) RemoveHolder(router api.NodeID) {
	if holder, ok := o.holders[router]; ok && !holder.heard {
		o.unheard--
	}
	delete(o.holders, router)
	for _, row := range o.rows {
		row.remove(router)
	}
}
