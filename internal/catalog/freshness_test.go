package catalog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/worker"
)

func TestAFewNodesAreSentinels(t *testing.T) {
	tests := []struct{ nodes, want int }{{1, 1}, {3, 3}, {9, sentinels}, {670, sentinels}}
	for _, test := range tests {
		var nodes []api.Node
		for i := range test.nodes {
			nodes = append(nodes, api.Node{ID: api.NodeID(fmt.Sprint("node-", i))})
		}
		n := 0
		for _, node := range nodes {
			if Sentinel(node.ID, nodes) {
				n++
			}
		}
		if n != test.want {
			t.Errorf("%d of %d nodes are sentinels, want %d", n, test.nodes, test.want)
		}
	}
}

func TestANewSentinelTakesTheOthersPlace(t *testing.T) {
	nodes := []api.Node{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}}
	var spare api.NodeID
	for _, node := range nodes {
		if !Sentinel(node.ID, nodes) {
			spare = node.ID
		}
	}
	for i, node := range nodes {
		if node.ID != spare {
			nodes[i].Suspected = true
			break
		}
	}
	if !Sentinel(spare, nodes) {
		t.Errorf("%s takes no place of a sentinel that is out of sight", spare)
	}
}

func TestBehindForAWhile(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	tests := []struct {
		name   string
		newest []int64 // one each 200 ms; the own one is 5
		want   bool
	}{
		{"level", []int64{5, 5, 5, 5}, false},
		{"only just behind", []int64{5, 5, 6}, false},
		{"behind for a while", []int64{6, 6, 7}, true},
		{"behind, and level between", []int64{6, 5, 6, 6}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var b behind
			got := false
			for i, newest := range test.newest {
				got = b.see(start.Add(time.Duration(i)*200*time.Millisecond), 5, newest)
			}
			if got != test.want {
				t.Errorf("%t, want %t", got, test.want)
			}
		})
	}
}

// fakePeers are others whose newest revision a test sets.
type fakePeers struct{ revision atomic.Int64 }

func (p *fakePeers) ID() api.NodeID { return "self" }

func (p *fakePeers) Nodes() []api.Node {
	return []api.Node{{ID: "self"}, {ID: "other", TableRevision: p.revision.Load()}}
}

// TestAWatchThatIsNotToldIsAskedAgain: the watch waits and hears nothing; a peer
// knows a later revision.
func TestAWatchThatIsNotToldIsAskedAgain(t *testing.T) {
	service := newFakeService()
	service.put("config", "7", 1)
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &recorder{workers: map[string]worker.Worker{}}
	c := New(testSource(), service, logrus.NewEntry(log), r)
	peers := &fakePeers{}
	c.Compare(peers)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { c.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	r.await(t, "[7]", "[]")
	service.awaitWatches(t, 1)
	peers.revision.Store(9)
	service.awaitWatches(t, 2)
	service.watch <- watchEvent{batch: kv.Batch{Revision: 9, Events: []kv.Event{{Pair: kv.Pair{Key: "config", Value: []byte("8"), Revision: 9}}}}}
	r.await(t, "[7 8]", "[]")
	if c.Told() != 9 {
		t.Errorf("the process tells revision %d, want 9", c.Told())
	}
}
