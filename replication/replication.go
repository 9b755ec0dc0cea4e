// Package replication keeps a log in agreement among the replicas of a group:
// leader election by terms, append by quorum, commit. It is only a state
// machine: the shell persists, sends and applies what Step asks for.
//
// Contract of the shell:
//   - Actions are carried out in order. A Persist is on disk (synced) before any
//     later Send of the same step leaves. Several steps may share one sync.
//   - Each Persist is answered by Persisted with its Sequence, or with that of a
//     later one, as Persists are written in order.
//   - FetchSnapshot is answered by SnapshotFetched once the bulk is staged.
//   - After a crash NewMachine gets what the last synced Persists left.
//
// Safety rests on terms, quorums and synced disks. Time only decides when a
// replica asks for votes or gives up leading.
package replication

import (
	"cmp"
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
	MessageSnapshotAnswer MessageType = "snapshot_answer" // only when fetching failed
	MessageTimeoutNow     MessageType = "timeout_now"     // leader to successor: ask for votes at once
)

// WireMessage travels between replicas of one group.
type WireMessage struct {
	Type     MessageType `json:"type"`
	Group    api.GroupID `json:"group"`
	From     ReplicaID   `json:"from"`
	To       ReplicaID   `json:"to"`
	Term     uint64      `json:"term"`
	Index    uint64      `json:"index,omitempty"`    // previous entry, last entry of a candidate; answer: last accepted, or the refused previous
	LogTerm  uint64      `json:"log_term,omitempty"` // term of Index
	Commit   uint64      `json:"commit,omitempty"`
	Entries  []Entry     `json:"entries,omitempty"`
	Granted  bool        `json:"granted,omitempty"`
	Match    uint64      `json:"match,omitempty"`    // answer: last index known equal and on disk; of a refusal: where to try next
	Round    uint64      `json:"round,omitempty"`    // of Confirm, within Term; an answer brings it back
	Transfer bool        `json:"transfer,omitempty"` // vote asked for by the leader itself
	Snapshot *Snapshot   `json:"snapshot,omitempty"`
}

// Snapshot replaces the log up to Index. Data is the shell's: the whole state
// when it is small, or a descriptor by which another replica fetches it.
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
	Heartbeat       time.Duration // leader to a follower that lags; to others at least two an ElectionTimeout
	ElectionTimeout time.Duration // shortest wait; up to twice that is drawn
	Random          *rand.Rand

	MaxAppendBytes      int // of one append; one entry may be larger; 0: DefaultMaxAppendBytes
	MaxInflight         int // appends to one replica not yet on its disk; 0: DefaultMaxInflight
	MaxUncommittedBytes int // of proposals that wait for a quorum; 0: DefaultMaxUncommittedBytes
	TrailingEntries     int // kept in memory before a snapshot, for replicas that lag a little; 0: DefaultTrailingEntries
}

// Defaults of Settings.
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

// Restored is what the disk held at start; zero for a new replica.
type Restored struct {
	HardState HardState
	Snapshot  Snapshot // Members of a new group's first voters when Index is 0
	Entries   []Entry  // after Snapshot.Index
	Applied   uint64   // last entry that the shell's state on disk holds; 0: Snapshot.Index
}
