package membership

import (
	"time"

	"github.com/dykewing/dykewing/api"
)

// Status is the state of a node in the view.
type Status string

// Statuses of a node. A suspect counts as live until its suspicion times out.
const (
	StatusAlive   Status = "alive"
	StatusSuspect Status = "suspect"
	StatusDead    Status = "dead"
)

// Record is the state of one node of the sender's zone. The node's location is
// omitted on the wire, since it is the zone's.
type Record struct {
	Node   api.Node `json:"node"`
	Status Status   `json:"status,omitempty"` // empty means alive
}

// Contact identifies a node that other zones may address.
type Contact struct {
	ID      api.NodeID `json:"id"`
	Role    api.Role   `json:"role"`
	Address string     `json:"address"`
}

// StoreContact is a store and the groups that it leads.
type StoreContact struct {
	Contact
	Incarnation uint64             `json:"incarnation,omitempty"` // 0: not told
	Groups      []api.GroupSummary `json:"groups,omitempty"`
	Replica     string             `json:"replica,omitempty"` // identity of its disk
	DiskFull    bool               `json:"disk_full,omitempty"`
}

// ZoneSummary is what other zones know about a zone. The highest Version wins.
type ZoneSummary struct {
	Location      api.Location         `json:"location"`
	Version       int64                `json:"version"`
	Nodes         int                  `json:"nodes"` // live members
	TableRevision int64                `json:"table_revision,omitempty"`
	Gateways      []Contact            `json:"gateways,omitempty"` // routers that forward to the zone's homes
	Stores        []StoreContact       `json:"stores,omitempty"`
	Services      []api.ServiceSummary `json:"services,omitempty"` // summed over the zone
}

// ZoneVersion is the version of a zone's summary that the sender holds; 0 if none.
type ZoneVersion struct {
	Location api.Location `json:"location"`
	Version  int64        `json:"version"`
}

// Exchange is the body of every membership request and of its reply. Heartbeats
// carry Updates and Versions; the other fields are for less frequent exchanges.
type Exchange struct {
	From     api.NodeID   `json:"from"`
	Location api.Location `json:"location"`
	// Updates holds records of the sender's zone, its own first.
	Updates []Record `json:"updates,omitempty"`
	// Full is set if Updates holds every record that the sender knows.
	Full bool `json:"whole,omitempty"`
	// Digest of the sender's live members; 0 if absent. A receiver of the same zone
	// whose digest differs replies with all its records.
	Digest uint64 `json:"digest,omitempty"`
	// Versions requests the zone summaries that are newer at the receiver.
	Versions []ZoneVersion `json:"versions,omitempty"`
	Zones    []ZoneSummary `json:"zones,omitempty"`
	// Probe asks the receiver to probe this node on the sender's behalf.
	Probe *Contact `json:"probe,omitempty"`
	// Reached is the node that the sender probed successfully on the receiver's behalf.
	Reached api.NodeID      `json:"reached,omitempty"`
	Observe *ObserveRequest `json:"observe,omitempty"`
	Cursor  *Cursor         `json:"cursor,omitempty"` // in the reply to a poll
}

// ObserveRequest requests the changes at a member since a cursor, for a node that is not a
// member itself. A cursor of another source or incarnation requests everything.
type ObserveRequest struct {
	Source      api.NodeID `json:"source,omitempty"`
	Incarnation uint64     `json:"life,omitempty"`
	After       uint64     `json:"after,omitempty"`
	// UrgentOnly requests only urgent changes: of status, incarnation, leaving mark, table
	// revision and offered rows. The cursor does not advance.
	UrgentOnly bool `json:"brief,omitempty"`
}

// Cursor is the position from which an observer's next poll continues.
type Cursor struct {
	Incarnation uint64 `json:"life"`
	ChangeIndex uint64 `json:"stamp"`
	Reset       bool   `json:"reset,omitempty"` // the reply replaces the observer's whole view
}

// Message is an input of Machine.Step.
type Message interface{ membershipMessage() }

// Tick drives heartbeats and timeouts; the caller sends it every Settings.Interval.
type Tick struct{}

// RequestReceived is a request from a peer; the machine responds with one Reply.
type RequestReceived struct{ Exchange Exchange }

// ReplyReceived is the reply to a Send.
type ReplyReceived struct {
	Sent     Send
	Exchange Exchange
}

// Unreachable reports that a Send had no reply within the probe timeout. Refused is
// set if the peer's host refused the connection, so that no process listens there.
type Unreachable struct {
	Sent    Send
	Refused bool
}

// SelfChanged replaces the node's advertised load, table revision and leaving mark.
// The machine keeps the incarnation and numbers the summary itself.
type SelfChanged struct {
	Leaving       bool
	TableRevision int64
	Summary       api.LoadSummary
}

// Stopped is the node's last message. Some peers are told that the node is dead, so
// that they need not detect it.
type Stopped struct{}

func (Tick) membershipMessage()            {}
func (RequestReceived) membershipMessage() {}
func (ReplyReceived) membershipMessage()   {}
func (Unreachable) membershipMessage()     {}
func (SelfChanged) membershipMessage()     {}
func (Stopped) membershipMessage()         {}

// Action is an output of Machine.Step that the caller carries out.
type Action interface{ membershipAction() }

// Purpose is the reason for a Send.
type Purpose string

// Purposes of a Send.
const (
	PurposeProbe         Purpose = "probe"     // regular heartbeat
	PurposeIndirect      Purpose = "indirect"  // requests an indirect probe
	PurposeProbeOnBehalf Purpose = "probe_for" // performs an indirect probe
	PurposeResult        Purpose = "result"    // reports a successful indirect probe
	PurposePush          Purpose = "push"      // spreads an urgent change
	PurposeSync          Purpose = "sync"      // anti-entropy and joining
	PurposeZone          Purpose = "zone"      // between zone representatives
	PurposeObserve       Purpose = "observe"   // poll by an observer
)

// Send requests one exchange with the process at Address.
type Send struct {
	Address  string
	Peer     api.NodeID // empty if not known yet
	Purpose  Purpose
	Origin   Contact // of an indirect probe: the member that asked for it
	Exchange Exchange
}

// Reply is the response to the request of this step.
type Reply struct{ Exchange Exchange }

// ViewChanged reports that the results of Nodes or Zones have changed.
type ViewChanged struct{}

// MemberDied reports that a member was declared dead, by this node or by a peer.
type MemberDied struct {
	Node     api.NodeID
	Observed time.Duration // how long it was suspect here; 0 if learned from a peer
	Leaving  bool          // it had announced its shutdown
}

// DuplicateID reports that another process, at Address, uses this node's id.
type DuplicateID struct{ Address string }

func (Send) membershipAction()        {}
func (Reply) membershipAction()       {}
func (ViewChanged) membershipAction() {}
func (MemberDied) membershipAction()  {}
func (DuplicateID) membershipAction() {}
