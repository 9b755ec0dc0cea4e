package store

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/replication"
)

// serveMessages accepts a batch from another replica. The response doesn't imply
// persistence; acknowledgements are messages of their own.
func (s *Store) serveMessages(w http.ResponseWriter, r *http.Request) {
	batch, failure := readBatch(w, r, s.shared.database.hooks.level())
	if failure != nil {
		transport.WriteError(w, failure)
		return
	}
	s.shared.peers.recordContact(time.Now(), batch.From, batch.Address)
	s.shared.peers.setLevel(batch.From, batch.Level)
	s.shared.peers.recordAdvertised(batch.Members)
	for _, message := range batch.Messages {
		s.receive(message, batch.Address)
	}
	w.Header()["Date"] = nil // unused, and half of the response's size
	w.WriteHeader(http.StatusNoContent)
}

// receive dispatches a message to its group. A message to another identity was sent to a
// previous disk of this machine and is dropped.
func (s *Store) receive(message replication.WireMessage, address string) {
	if message.To != s.shared.database.identity {
		return
	}
	if group, ok := s.group(message.Group); ok {
		group.tell(replication.Received{Message: message})
		return
	}
	s.join(message.Group, address)
}

// join starts a replica of a group that a peer sent a message for, with the initial members
// fetched from that peer.
func (s *Store) join(id api.GroupID, address string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.joining[id] || s.stopped {
		return
	}
	s.joining[id] = true
	s.background.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, sendTimeout)
		defer cancel()
		var origin replication.Members
		err := transport.Get(ctx, s.node.Control, "read first members", address, originPath(id), &origin)
		if err == nil {
			err = s.startGroup(id, origin)
		}
		if err != nil {
			s.log.WithError(err).WithField("group", id).Warn("Joining the group failed; retrying.")
		}
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.joining, id)
	})
}

// identityAnswer is the body of pathIdentity.
type identityAnswer struct {
	Replica  replication.ReplicaID `json:"replica"`
	Node     api.NodeID            `json:"node"`
	Location api.Location          `json:"location"`
}

func (s *Store) serveIdentity(w http.ResponseWriter, _ *http.Request) {
	transport.WriteJSON(w, http.StatusOK, identityAnswer{
		Replica: s.shared.database.identity, Node: s.node.ID(), Location: s.node.Settings.Node.Location(),
	})
}

func originPath(id api.GroupID) string { return fmt.Sprintf("%s%d/origin", api.PathGroups, id) }

func serveOrigin(w http.ResponseWriter, _ *http.Request, group *group) {
	transport.WriteJSON(w, http.StatusOK, group.origin)
}

// groupStatus is one replica's status for operators.
type groupStatus struct {
	Group        api.GroupID           `json:"group"`
	Replica      replication.ReplicaID `json:"replica"`
	Leading      bool                  `json:"leading"`
	Leader       replication.ReplicaID `json:"leader,omitempty"`
	Term         uint64                `json:"term"`
	Applied      uint64                `json:"applied"`
	Members      replication.Members   `json:"members"`
	MembersIndex uint64                `json:"members_index"`
}

func serveStatus(w http.ResponseWriter, _ *http.Request, group *group) {
	transport.WriteJSON(w, http.StatusOK, group.status())
}

func (g *group) status() groupStatus {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	at := g.state.position()
	return groupStatus{
		Group: g.id, Replica: g.database.identity, Leading: g.leading != nil, Leader: g.role.Leader, Term: g.role.Term,
		Applied: at.Index, Members: at.Members, MembersIndex: at.MembersIndex,
	}
}
