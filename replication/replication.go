// Package replication keeps a log in agreement among the replicas of a group:
// leader election by terms, append by quorum, commit. It is only a state
// machine: the shell persists, sends and applies what Step asks for.
//
// Contract of the shell: actions are carried out in order, and a Persist is on
// disk (synced) before any later Send of the same step leaves. Several steps
// may share one sync.
package replication

import (
	"math/rand/v2"
	"time"

	"github.com/dykewing/dykewing/api"
)

// ReplicaID names one replica for as long as its disk lives. A new disk is a
// new replica.
type ReplicaID string

// Entry is one position of the log.
type Entry struct {
	Index uint64    `json:"index"` // from 1
	Term  uint64    `json:"term"`
	Kind  EntryKind `json:"kind"`
	Data  []byte    `json:"data,omitempty"`
}

// EntryKind tells what Data is.
type EntryKind uint8

// The kinds of entries.
const (
	EntryCommand EntryKind = iota // opaque to this package
	EntryNoop                     // appended by a new leader
	EntryMembers                  // Data is a JSON Members
)

// Members is a group's configuration. One replica at a time is added or
// removed; learners receive the log and do not vote.
type Members struct {
	Voters   []ReplicaID `json:"voters"`
	Learners []ReplicaID `json:"learners,omitempty"`
}

// HardState is what must be on disk before a vote or an acknowledgement.
type HardState struct {
	Term uint64    `json:"term"`
	Vote ReplicaID `json:"vote,omitempty"`
}

// MessageType tells what a wire Message is.
type MessageType string

// The wire messages between replicas.
const (
	MessagePreVote        MessageType = "pre_vote"
	MessagePreVoteAnswer  MessageType = "pre_vote_answer"
	MessageVote           MessageType = "vote"
	MessageVoteAnswer     MessageType = "vote_answer"
	MessageAppend         MessageType = "append"
	MessageAppendAnswer   MessageType = "append_answer"
	MessageSnapshot       MessageType = "snapshot"
	MessageSnapshotAnswer MessageType = "snapshot_answer"
)

// WireMessage travels between replicas of one group.
type WireMessage struct {
	Type     MessageType `json:"type"`
	Group    api.GroupID `json:"group"`
	From     ReplicaID   `json:"from"`
	To       ReplicaID   `json:"to"`
	Term     uint64      `json:"term"`
	Index    uint64      `json:"index,omitempty"`    // previous entry, or last entry of a candidate
	LogTerm  uint64      `json:"log_term,omitempty"` // term of Index
	Commit   uint64      `json:"commit,omitempty"`
	Entries  []Entry     `json:"entries,omitempty"`
	Granted  bool        `json:"granted,omitempty"`
	Match    uint64      `json:"match,omitempty"` // answer: last index known equal
	Snapshot *Snapshot   `json:"snapshot,omitempty"`
}

// Snapshot replaces the log up to Index.
type Snapshot struct {
	Index   uint64  `json:"index"`
	Term    uint64  `json:"term"`
	Members Members `json:"members"`
	Data    []byte  `json:"data,omitempty"`
}

// Settings of a Machine.
type Settings struct {
	Group           api.GroupID
	Self            ReplicaID
	Heartbeat       time.Duration // leader to follower
	ElectionTimeout time.Duration // shortest wait; up to twice that is drawn
	Random          *rand.Rand
}

// Restored is what the disk held at start; zero for a new replica.
type Restored struct {
	HardState HardState
	Snapshot  Snapshot // Members of a new group's first voters when Index is 0
	Entries   []Entry  // after Snapshot.Index
}

// Message is what a Machine is stepped with.
type Message interface{ replicationMessage() }

// Tick lets time pass; the shell sends it several times a heartbeat.
type Tick struct{}

// Received carries a message from another replica.
type Received struct{ Message WireMessage }

// Propose asks the leader to append a command; Token comes back in Proposed.
type Propose struct {
	Token uint64
	Data  []byte
}

// ProposeMembers asks the leader to change the group by one replica.
type ProposeMembers struct {
	Token   uint64
	Members Members
}

// Persisted says that entries up to Index of Term are on this replica's disk.
type Persisted struct {
	Index uint64
	Term  uint64
}

// Compact says that the applied state up to Snapshot.Index is on disk, so that
// the log before it may go.
type Compact struct{ Snapshot Snapshot }

// Confirm asks the leader to make sure, by a round with a quorum that begins
// after this message, that it still leads. It is what linearisable reads and
// grants of quota rest on; no clock or lease does.
type Confirm struct{ Token uint64 }

func (Confirm) replicationMessage()        {}
func (Tick) replicationMessage()           {}
func (Received) replicationMessage()       {}
func (Propose) replicationMessage()        {}
func (ProposeMembers) replicationMessage() {}
func (Persisted) replicationMessage()      {}
func (Compact) replicationMessage()        {}

// Action is what a Machine asks for.
type Action interface{ replicationAction() }

// Persist puts state on disk and syncs it. Entries replace all from the first
// one's index on. The shell answers with Persisted once synced.
type Persist struct {
	HardState *HardState
	Entries   []Entry
	Snapshot  *Snapshot
}

// Send sends to another replica; loss is allowed.
type Send struct{ Message WireMessage }

// Apply hands over committed entries, each once and in order.
type Apply struct{ Entries []Entry }

// Proposed answers Propose: where the command stands in the log, or why not.
// The command took effect only if an Apply brings the same index and term.
type Proposed struct {
	Token  uint64
	Index  uint64
	Term   uint64
	Leader ReplicaID // known leader when Err is set
	Err    error
}

// RoleChanged tells that leadership changed here or elsewhere.
type RoleChanged struct {
	Leading bool
	Term    uint64
	Leader  ReplicaID // empty when not known
}

// Confirmed answers Confirm. Without Err this replica led, in Term, at a moment
// after the Confirm; a read is linearisable once Index is applied.
type Confirmed struct {
	Token uint64
	Index uint64
	Term  uint64
	Err   error
}

func (Confirmed) replicationAction()   {}
func (Persist) replicationAction()     {}
func (Send) replicationAction()        {}
func (Apply) replicationAction()       {}
func (Proposed) replicationAction()    {}
func (RoleChanged) replicationAction() {}
