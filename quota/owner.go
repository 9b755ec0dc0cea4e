package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
)

// OwnerMessage is what an Owner is stepped with.
type OwnerMessage interface{ ownerMessage() }

// Led says that this replica leads its group in the term Epoch and has applied
// all that earlier leaders committed; Holders are the registered ones.
type Led struct {
	Epoch   uint64
	Holders []api.NodeID
}

// Deposed says that this replica no longer leads.
type Deposed struct{}

// Bounds replaces the ceilings of the table in force.
type Bounds struct{ Rows map[api.RowKey]Ceiling }

// Reported carries a holder's report; Token comes back in Answer.
type Reported struct {
	Token  uint64
	Report Report
}

// ConfirmedLeader says that a round with a quorum, begun after the reports up
// to Token had arrived, found this replica leading in Epoch.
type ConfirmedLeader struct {
	Token uint64
	Epoch uint64
}

// Registered says that the holder's registration was committed in Epoch.
type Registered struct {
	Epoch  uint64
	Router api.NodeID
}

func (Led) ownerMessage()             {}
func (Deposed) ownerMessage()         {}
func (Bounds) ownerMessage()          {}
func (Reported) ownerMessage()        {}
func (ConfirmedLeader) ownerMessage() {}
func (Registered) ownerMessage()      {}

// OwnerAction is what an Owner asks for.
type OwnerAction interface{ ownerAction() }

// Confirm asks for a round with a quorum that begins now.
type Confirm struct{ Token uint64 }

// Register asks to commit that the holder may hold shares, so that a later
// leader knows whom to ask.
type Register struct{ Router api.NodeID }

// Answer gives the grant to the holder that reported with Token. Refused: this
// replica does not lead.
type Answer struct {
	Token   uint64
	Grant   Grant
	Refused bool
}

func (Confirm) ownerAction()  {}
func (Register) ownerAction() {}
func (Answer) ownerAction()   {}

// Owner grants the shares of all rows of one group while its replica leads.
type Owner struct {
	settings Settings
	leading  bool
	epoch    uint64
	until    time.Time // silent holders' requests count until then
	bounds   map[api.RowKey]Ceiling
	holders  map[api.NodeID]*holderState
	silent   int // holders that were not heard
	rows     map[api.RowKey]*rowState
	pending  []Reported // wait for their confirmation, oldest first
}

// holderState is what is known of one registered holder.
type holderState struct {
	instance uint64
	sequence uint64
	heard    bool // reported in this epoch without a share of an older one
	last     time.Time
}

// NewOwner does not lead.
func NewOwner(settings Settings) *Owner {
	return &Owner{settings: settings, bounds: map[api.RowKey]Ceiling{}}
}

// Step takes one message.
func (o *Owner) Step(now time.Time, message OwnerMessage) []OwnerAction {
	switch message := message.(type) {
	case Led:
		return o.lead(now, message)
	case Deposed:
		return o.depose()
	case Bounds:
		o.bounds = message.Rows
	case Reported:
		return o.receive(now, message)
	case ConfirmedLeader:
		return o.confirmed(now, message)
	case Registered:
		o.registered(now, message)
	}
	return nil
}

// lead begins an epoch that knows nothing of the shares of earlier ones but the
// holders that may have them. A holder that is heard tells what it has, and
// applies no grant of an earlier epoch any more. One that stays silent may have
// been granted a share until the election: the quorum that elected this replica
// meets every quorum that confirmed an earlier owner. That share ends one
// Lifetime later, and the last request under it MaximumRun after that.
func (o *Owner) lead(now time.Time, led Led) []OwnerAction {
	actions := o.depose()
	wait := o.settings.Lifetime + o.settings.Margin
	if o.settings.Fault == FaultNoWait {
		wait = 0
	}
	o.leading, o.epoch = true, led.Epoch
	o.until = now.Add(wait + o.settings.MaximumRun)
	o.holders = map[api.NodeID]*holderState{}
	o.rows = map[api.RowKey]*rowState{}
	for _, router := range led.Holders {
		o.holders[router] = &holderState{last: now}
	}
	o.silent = len(o.holders)
	return actions
}

func (o *Owner) depose() []OwnerAction {
	o.leading = false
	var actions []OwnerAction
	for _, waiting := range o.pending {
		actions = append(actions, Answer{Token: waiting.Token, Refused: true})
	}
	o.pending = nil
	return actions
}

func (o *Owner) receive(now time.Time, reported Reported) []OwnerAction {
	if !o.leading {
		return []OwnerAction{Answer{Token: reported.Token, Refused: true}}
	}
	if _, ok := o.holders[reported.Report.Router]; !ok {
		return []OwnerAction{
			Register{Router: reported.Report.Router},
			Answer{Token: reported.Token, Grant: o.emptyGrant(reported.Report)},
		}
	}
	o.pending = append(o.pending, reported)
	if o.settings.Fault == FaultNoConfirm {
		return o.confirmed(now, ConfirmedLeader{Token: reported.Token, Epoch: o.epoch})
	}
	return []OwnerAction{Confirm{Token: reported.Token}}
}

func (o *Owner) emptyGrant(report Report) Grant {
	return Grant{Epoch: o.epoch, Instance: report.Instance, Sequence: report.Sequence}
}

// registered adds a holder that no earlier owner has granted to.
func (o *Owner) registered(now time.Time, message Registered) {
	if !o.leading || message.Epoch != o.epoch || o.holders[message.Router] != nil {
		return
	}
	o.holders[message.Router] = &holderState{heard: true, last: now}
}

// confirmed answers the reports that had arrived when the round began.
func (o *Owner) confirmed(now time.Time, confirmed ConfirmedLeader) []OwnerAction {
	if !o.leading || confirmed.Epoch != o.epoch {
		return nil
	}
	var actions []OwnerAction
	for len(o.pending) > 0 && o.pending[0].Token <= confirmed.Token {
		waiting := o.pending[0]
		o.pending = o.pending[1:]
		actions = append(actions, Answer{Token: waiting.Token, Grant: o.grant(now, waiting.Report)})
	}
	return actions
}

// grant takes a report in and gives the shares that it leads to.
func (o *Owner) grant(now time.Time, report Report) Grant {
	grant := o.emptyGrant(report)
	if !o.take(now, report) || !o.holders[report.Router].heard {
		return grant
	}
	for _, row := range report.Rows {
		ceiling := o.bounds[api.RowKey(row.Key)]
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

// take notes what the holder reports; false when a newer report was taken.
func (o *Owner) take(now time.Time, report Report) bool {
	holder := o.holders[report.Router]
	if report.Instance < holder.instance || (report.Instance == holder.instance && report.Sequence <= holder.sequence) {
		return false
	}
	if report.Instance > holder.instance {
		o.forget(report.Router, holder)
	}
	holder.instance, holder.sequence, holder.last = report.Instance, report.Sequence, now
	o.hear(now, holder, report)
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
		share.take(now, entry)
		if o.settings.Fault == FaultForgetInUse {
			share.inUse = 0
		}
		row.account(now, share, o.settings)
		if !ok && len(share.grants) == 0 {
			row.remove(report.Router)
		}
	}
	return true
}

// forget drops what an earlier process of the router held: its requests ended
// with its connections.
func (o *Owner) forget(router api.NodeID, holder *holderState) {
	if holder.instance == 0 {
		return
	}
	for _, row := range o.rows {
		row.remove(router)
	}
}

// hear counts the holder as known once it has seen this epoch: what it has in
// use, or may still take in use under a share of an earlier epoch, is then all
// that it can have without this owner.
func (o *Owner) hear(now time.Time, holder *holderState, report Report) {
	if holder.heard || report.Epoch != o.epoch {
		return
	}
	holder.heard = true
	o.silent--
	for _, row := range report.Rows {
		state := o.row(now, api.RowKey(row.Key))
		state.accounted += max(row.InUse, row.Share)
		if row.Share == 0 {
			continue
		}
		share := state.share(report.Router)
		share.grants = append(share.grants, grantRecord{
			sequence: row.Ended + 1, concurrency: row.Share, expires: now.Add(o.settings.Lifetime + o.settings.Margin),
		})
	}
}

// Silent lists the holders to remove from the registered ones: nothing of
// theirs can run any more. Sorted.
func (o *Owner) Silent(now time.Time) []api.NodeID {
	var silent []api.NodeID
	if !o.leading {
		return nil
	}
	for router, holder := range o.holders {
		if now.Sub(holder.last) > 2*(o.settings.Lifetime+o.settings.Margin)+o.settings.MaximumRun {
			silent = append(silent, router)
		}
	}
	slices.SortFunc(silent, func(a, b api.NodeID) int { return cmp.Compare(a, b) })
	return silent
}

// Forget drops a holder whose removal was committed.
func (o *Owner) Forget(router api.NodeID) {
	if holder, ok := o.holders[router]; ok && !holder.heard {
		o.silent--
	}
	delete(o.holders, router)
	for _, row := range o.rows {
		row.remove(router)
	}
}
