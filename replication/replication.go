// Package replication implements the Raft consensus algorithm for the replicas of one
// group: leader election with pre-votes, log replication, membership changes of one
// replica at a time, snapshots and linearizable reads. A Machine is a pure state machine;
// the embedding process, called the shell, persists, sends and applies what Step returns.
//
// The shell must observe this contract:
//   - Actions are carried out in order. A Persist is synced to disk before any
//     later Send of the same step is sent. Several steps may share one sync.
//   - Each Persist is answered by Persisted with its Sequence or a later one.
//     Persists are written in order.
//   - FetchSnapshot is answered by SnapshotFetched once the state is staged.
//   - After a crash, NewMachine receives the state left by the synced Persists.
//
// Safety depends on terms, quorums and synced disks only. Time determines when a
// replica campaigns and when a leader steps down.
package replication

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/dykewing/dykewing/api"
)

// ReplicaID identifies a replica together with its disk. A replica that lost its disk
// must rejoin with a new ID.
type ReplicaID string

// Entry is an entry of the log.
type Entry struct {
	Index uint64    `json:"index"` // counted from 1
	Term  uint64    `json:"term"`
	Kind  EntryKind `json:"kind"`
	Data  []byte    `json:"data,omitempty"`
}

// EntryKind is the type of an entry's Data.
type EntryKind uint8

// The kinds of entries.
const (
	EntryCommand EntryKind = iota // opaque to this package
	EntryNoop                     // appended by a new leader
	EntryMembers                  // Data is a JSON Members
)

// Members is the membership of a group. It changes by one replica at a time. Learners
// receive the log but do not vote.
type Members struct {
	Voters   []ReplicaID `json:"voters"`
	Learners []ReplicaID `json:"learners,omitempty"`
}

// HardState must be on disk before a vote or an acknowledgement is sent.
type HardState struct {
	Term uint64    `json:"term"`
	Vote ReplicaID `json:"vote,omitempty"`
}

// MessageType is the type of a WireMessage.
type MessageType string

// The types of wire messages.
const (
	MessagePreVote          MessageType = "pre_vote"
	MessagePreVoteResponse  MessageType = "pre_vote_answer"
	MessageVote             MessageType = "vote"
	MessageVoteResponse     MessageType = "vote_answer"
	MessageAppend           MessageType = "append"
	MessageAppendResponse   MessageType = "append_answer"
	MessageSnapshot         MessageType = "snapshot"
	MessageSnapshotResponse MessageType = "snapshot_answer" // sent only if the fetch failed
	MessageTimeoutNow       MessageType = "timeout_now"     // from the leader to its successor: start an election at once
)

// WireMessage is a message between replicas of one group.
type WireMessage struct {
	Type     MessageType `json:"type"`
	Group    api.GroupID `json:"group"`
	From     ReplicaID   `json:"from"`
	To       ReplicaID   `json:"to"`
	Term     uint64      `json:"term"`
	Index    uint64      `json:"index,omitempty"`    // append: previous entry; vote: last entry of the candidate; append response: last accepted entry, or the rejected previous one
	LogTerm  uint64      `json:"log_term,omitempty"` // term of Index
	Commit   uint64      `json:"commit,omitempty"`
	Entries  []Entry     `json:"entries,omitempty"`
	Granted  bool        `json:"granted,omitempty"`
	Match    uint64      `json:"match,omitempty"`    // append response: last index that matches and is on disk; rejection: index at which to retry
	Round    uint64      `json:"round,omitempty"`    // confirmation round within Term; echoed in the response
	Transfer bool        `json:"transfer,omitempty"` // vote request of a leadership transfer
	Snapshot *Snapshot   `json:"snapshot,omitempty"`
}

// Snapshot replaces the log up to Index. Data is opaque to this package: the whole state
// if it is small, or a descriptor by which another replica fetches it.
type Snapshot struct {
	Index   uint64  `json:"index"`
	Term    uint64  `json:"term"`
	Members Members `json:"members"`
	Data    []byte  `json:"data,omitempty"`
}

// Settings configure a Machine.
type Settings struct {
	Group           api.GroupID
	Self            ReplicaID
	Heartbeat       time.Duration // interval to a lagging follower; others get two per ElectionTimeout, or fewer if Heartbeat is longer
	ElectionTimeout time.Duration // minimum; the actual timeout is random, up to twice as long, and both grow while messages are late
	Random          *rand.Rand

	MaxAppendBytes      int // per append; a single larger entry is sent alone; 0: DefaultMaxAppendBytes
	MaxInflight         int // appends per replica that are not yet on its disk; 0: DefaultMaxInflight
	MaxUncommittedBytes int // uncommitted entries; 0: DefaultMaxUncommittedBytes
	TrailingEntries     int // kept in memory before a snapshot, for replicas that lag slightly; 0: DefaultTrailingEntries
}

// Default values of Settings.
const (
	DefaultMaxAppendBytes      = 256 << 10
	DefaultMaxInflight         = 16
	DefaultMaxUncommittedBytes = 64 << 20
	DefaultTrailingEntries     = 1024
)

func (s Settings) withDefaults() Settings {
	s.MaxAppendBytes = cmp.Or(s.MaxAppendBytes, DefaultMaxAppendBytes)
	s.MaxInflight = cmp.Or(s.MaxInflight, DefaultMaxInflight)
	s.MaxUncommittedBytes = cmp.Or(s.MaxUncommittedBytes, DefaultMaxUncommittedBytes)
	s.TrailingEntries = cmp.Or(s.TrailingEntries, DefaultTrailingEntries)
	return s
}

// RecoveredState is the state recovered from disk at startup. It is zero for a replica that
// joins an existing group.
type RecoveredState struct {
	HardState HardState
	Snapshot  Snapshot // Index 0: Members holds the initial voters of a new group
	Entries   []Entry  // after Snapshot.Index
	Applied   uint64   // last entry applied to the shell's state on disk; 0: Snapshot.Index
}
