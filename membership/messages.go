package membership

import (
	"time"

	"github.com/dykewing/dykewing/api"
)

// Status is what the view holds of a node.
type Status string

// The statuses. Suspect nodes still count as live until the suspicion ends.
const (
	StatusAlive   Status = "alive"
	StatusSuspect Status = "suspect"
	StatusDead    Status = "dead"
)

// Record is one node of the sender's zone; it is also what travels. Its
// location is left out on the wire: it is the zone's.
type Record struct {
	Node   api.Node `json:"node"`
	Status Status   `json:"status,omitempty"` // empty is alive
}

// Contact is a node of a zone that other zones may address.
type Contact struct {
	ID      api.NodeID `json:"id"`
	Role    api.Role   `json:"role"`
	Address string     `json:"address"`
}

// StoreContact is a store with the groups that it leads.
type StoreContact struct {
	Contact
	Groups   []api.GroupSummary `json:"groups,omitempty"`
	Replica  string             `json:"replica,omitempty"` // identity of its disk
	DiskFull bool               `json:"disk_full,omitempty"`
}

// ZoneSummary is what other zones know of a zone. The higher Version stands.
type ZoneSummary struct {
	Location      api.Location         `json:"location"`
	Version       int64                `json:"version"`
	Nodes         int                  `json:"nodes"` // live members
	TableRevision int64                `json:"table_revision,omitempty"`
	Gateways      []Contact            `json:"gateways,omitempty"` // routers that forward to the zone's homes
	Stores        []StoreContact       `json:"stores,omitempty"`
	Services      []api.ServiceSummary `json:"services,omitempty"` // sums over the zone
}

// ZoneVersion tells which version of a zone's summary the sender holds.
type ZoneVersion struct {
	Location api.Location `json:"location"`
	Version  int64        `json:"version"`
}

// Exchange is the body of every membership message and of its answer. A
// heartbeat carries updates and versions; the other parts are for the rarer
// exchanges.
type Exchange struct {
	From     api.NodeID   `json:"from"`
	Location api.Location `json:"location"`
	// Updates are records of the sender's zone, the sender's own first.
	Updates []Record `json:"updates,omitempty"`
	// Whole says that Updates are all that the sender knows.
	Whole bool `json:"whole,omitempty"`
	// Digest asks to be answered with all records if the receiver, of the same
	// zone, has another digest of its live members.
	Digest uint64 `json:"digest,omitempty"`
	// Versions ask to be answered with newer summaries.
	Versions []ZoneVersion `json:"versions,omitempty"`
	Zones    []ZoneSummary `json:"zones,omitempty"`
	// Probe asks the receiver to probe that node for the sender.
	Probe *Contact `json:"probe,omitempty"`
	// Reached says that the sender's probe of this node was answered.
	Reached api.NodeID `json:"reached,omitempty"`
	Observe *Observe   `json:"observe,omitempty"`
	Cursor  *Cursor    `json:"cursor,omitempty"` // answers Observe
}

// Observe asks for what changed at a peer since a cursor, for a node that is
// not a member. A cursor of another source or life asks for everything.
type Observe struct {
	Source api.NodeID `json:"source,omitempty"`
	Life   uint64     `json:"life,omitempty"`
	After  uint64     `json:"after,omitempty"`
	// Brief asks for urgent changes only: of status, leaving mark and table
	// revision. The cursor stays.
	Brief bool `json:"brief,omitempty"`
}

// Cursor is where an observer's next question goes on.
type Cursor struct {
	Life  uint64 `json:"life"`
	Stamp uint64 `json:"stamp"`
	Reset bool   `json:"reset,omitempty"` // the answer replaces all that it had
}

// Message is what a Machine is stepped with.
type Message interface{ membershipMessage() }

// Tick drives heartbeats; the shell sends it every Settings.Interval.
type Tick struct{}

// Incoming is an exchange from a peer; the machine answers with Reply.
type Incoming struct{ Exchange Exchange }

// Answered is the answer to a Send.
type Answered struct {
	Sent     Send
	Exchange Exchange
}

// Unreachable says that a Send had no answer within the probe timeout. Refused
// says that the peer's machine answered that no process listens there.
type Unreachable struct {
	Sent    Send
	Refused bool
}

// SelfChanged replaces what the node says of itself: summary, table revision,
// leaving. The machine keeps the incarnation.
type SelfChanged struct {
	Leaving       bool
	TableRevision int64
	Summary       api.Summary
}

// Stopped is the node's last message: it tells some peers that it is gone, so
// that none needs to suspect it.
type Stopped struct{}

func (Tick) membershipMessage()        {}
func (Incoming) membershipMessage()    {}
func (Answered) membershipMessage()    {}
func (Unreachable) membershipMessage() {}
func (SelfChanged) membershipMessage() {}
func (Stopped) membershipMessage()     {}

// Action is what a Machine asks for.
type Action interface{ membershipAction() }

// Purpose says why an exchange is sent.
type Purpose string

// The purposes of a Send.
const (
	PurposeProbe         Purpose = "probe"     // the interval's heartbeat
	PurposeIndirect      Purpose = "indirect"  // asks a peer to probe another
	PurposeProbeForOther Purpose = "probe_for" // carries out such a request
	PurposeResult        Purpose = "result"    // reports that it succeeded
	PurposePush          Purpose = "push"      // spreads an urgent change
	PurposeSync          Purpose = "sync"      // anti-entropy and joining
	PurposeZone          Purpose = "zone"      // between representatives
	PurposeObserve       Purpose = "observe"   // of a node that is not a member
)

// Send asks for one exchange with the process at Address.
type Send struct {
	Address  string
	Peer     api.NodeID // empty when it is not known yet
	Purpose  Purpose
	Origin   Contact // PurposeProbeForOther: who asked
	Exchange Exchange
}

// Reply answers the Incoming of this step.
type Reply struct{ Exchange Exchange }

// ViewChanged says that Nodes or Zones has changed.
type ViewChanged struct{}

// Died says that a member was declared dead by this node or by a rumour.
type Died struct {
	Node     api.NodeID
	Observed time.Duration // how long it was suspected here; 0 by rumour
	Leaving  bool          // it had announced that it would go
}

// DuplicateID says that another process runs under this node's id.
type DuplicateID struct{ Address string }

func (Send) membershipAction()        {}
func (Reply) membershipAction()       {}
func (ViewChanged) membershipAction() {}
func (Died) membershipAction()        {}
func (DuplicateID) membershipAction() {}
