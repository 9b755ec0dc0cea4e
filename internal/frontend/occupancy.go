package frontend

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/internal/occupancy"
	"github.com/dykewing/dykewing/internal/storeclient"
	"github.com/dykewing/dykewing/internal/transport"
)

const (
	// shareInterval is between two reports of what is held, while that is anything,
	// and at least sharePerPeer for each frontend, so that what a leader takes does not
	// grow with them; idleShareInterval else.
	shareInterval     = 100 * time.Millisecond
	sharePerPeer      = 6 * time.Millisecond
	idleShareInterval = 500 * time.Millisecond
	// fullShareInterval is the least between two reports when requests go to workers
	// that are full, and at least fullPerPeer for each other frontend: batch there
	// gives way once it is told.
	fullShareInterval = 25 * time.Millisecond
	fullPerPeer       = 3 * time.Millisecond
	shareTimeout      = 300 * time.Millisecond
	// answeredLife is how long a leader that took a report is taken for one.
	answeredLife = 500 * time.Millisecond
	// mostShared frontends tell what they hold. On a larger fleet that costs leaders
	// more than it tells them, and they ask workers instead.
	mostShared       = 16
	shareConnections = 1
)

// sharing tells the leaders that run batch what is held at workers, and learns what
// all others hold there.
type sharing struct {
	frontend *Frontend
	client   *http.Client
	full     chan struct{} // a request found no free slot

	mutex    sync.Mutex // guards all below
	asking   map[api.NodeID]bool
	answered map[api.NodeID]time.Time
}

func newSharing(f *Frontend) *sharing {
	return &sharing{
		frontend: f, client: transport.NewClient(shareConnections), full: make(chan struct{}, 1),
		asking: map[api.NodeID]bool{}, answered: map[api.NodeID]time.Time{},
	}
}

// run makes exchanges until ctx ends.
func (s *sharing) run(ctx context.Context) {
	defer s.client.CloseIdleConnections()
	timer := time.NewTimer(shareInterval)
	defer timer.Stop()
	toldAt := time.Time{}
	for {
		select {
		case <-timer.C:
		case <-s.full:
			pause(ctx, max(fullShareInterval, time.Duration(s.peers())*fullPerPeer)-time.Since(toldAt))
		case <-ctx.Done():
			return
		}
		peers := s.peers()
		interval := shareEvery(peers)
		timer.Reset(interval)
		if peers >= mostShared {
			s.frontend.pool.SetPeers(0, 0)
			continue
		}
		report := occupancy.Report{
			Node: s.frontend.node.ID(), Held: s.frontend.pool.HeldByWorker(), Waiting: s.frontend.holding.counts(),
		}
		if len(report.Held) == 0 && time.Since(toldAt) < idleShareInterval {
			continue
		}
		toldAt = time.Now()
		s.frontend.pool.SetPeers(peers, interval)
		s.tell(ctx, report)
	}
}

// shareEvery is the time between two reports of one among so many other frontends.
func shareEvery(peers int) time.Duration {
	return max(shareInterval, time.Duration(peers)*sharePerPeer)
}

// peers counts the other frontends that are known.
func (s *sharing) peers() (n int) {
	for _, node := range s.frontend.node.Nodes() {
		if node.Role == api.RoleFrontend && !node.Suspected && node.ID != s.frontend.node.ID() {
			n++
		}
	}
	return n
}

func pause(ctx context.Context, length time.Duration) {
	if length <= 0 {
		return
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// soon lets the next report go at once.
func (s *sharing) soon() {
	select {
	case s.full <- struct{}{}:
	default:
	}
}

// noteFull lets the next report go at once if a request's worker has no slot left.
func (s *sharing) noteFull(ticket *backend.Ticket) {
	if ticket.Load+1 > float64(ticket.Slots) {
		s.soon()
	}
}

// tell begins an exchange with each store that is to know and is not being asked.
func (s *sharing) tell(ctx context.Context, report occupancy.Report) {
	whom := s.whom(time.Now())
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, store := range whom {
		if !s.asking[store.ID] {
			s.asking[store.ID] = true
			go s.exchange(ctx, store, report)
		}
	}
}

// whom lists the leaders that are known; while one is not, or does not answer,
// every store.
func (s *sharing) whom(now time.Time) []api.Node {
	nodes := s.frontend.stores.Nodes()
	leaders, complete := batchLeaders(nodes, s.frontend.node.Settings.Store.Groups)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, leader := range leaders {
		complete = complete && now.Sub(s.answered[leader.ID]) < answeredLife
	}
	if complete {
		return leaders
	}
	return slices.DeleteFunc(slices.Clone(nodes), func(node api.Node) bool { return node.Role != api.RoleStore })
}

// exchange tells one store and takes what it knows.
func (s *sharing) exchange(ctx context.Context, store api.Node, report occupancy.Report) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	var answer occupancy.Answer
	err := transport.Call(ctx, s.client, "share occupancy", store.Address, occupancy.Path, report, &answer)
	s.mutex.Lock()
	delete(s.asking, store.ID)
	if err == nil {
		s.answered[store.ID] = time.Now()
	}
	s.mutex.Unlock()
	f := s.frontend
	if err != nil {
		f.metrics.shares.WithLabelValues("failed").Inc()
		f.log.WithFields(logrus.Fields{"event": "share_failed", "peer": store.ID}).WithError(err).Debug("A store did not take what is held.")
		return
	}
	f.metrics.shares.WithLabelValues("done").Inc()
	f.pool.SetOthers(answer.Others)
	f.holding.kick()
}

// batchLeaders lists the stores that lead a group, and tells whether one is known
// for each.
func batchLeaders(nodes []api.Node, groups int) (leaders []api.Node, complete bool) {
	complete = true
	for group := range groups {
		leader, ok := storeclient.Leader(nodes, api.GroupID(group))
		known := slices.ContainsFunc(leaders, func(other api.Node) bool { return other.ID == leader.ID })
		if ok && !known {
			leaders = append(leaders, leader)
		}
		complete = complete && ok
	}
	return leaders, complete
}
