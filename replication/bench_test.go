package replication

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/dykewing/dykewing/sim"
)

// memoryGroup is a group of machines that exchange messages in memory, with disks that
// sync immediately.
type memoryGroup struct {
	machines map[ReplicaID]*Machine
	queue    []delivery
	steps    int
	applied  uint64 // highest index
}

type delivery struct {
	to      ReplicaID
	message Message
}

func newMemoryGroup(voters int) *memoryGroup {
	s := &memoryGroup{machines: map[ReplicaID]*Machine{}}
	var members Members
	for i := range voters {
		members.Voters = append(members.Voters, ReplicaID(fmt.Sprintf("r%d", i)))
	}
	for _, id := range members.Voters {
		s.machines[id], _ = NewMachine(testSettings(id), RecoveredState{Snapshot: Snapshot{Members: members}})
		s.step(id, Inspect{})
	}
	s.machines["r0"].electionDeadline = sim.Epoch
	s.step("r0", Tick{})
	s.drain()
	return s
}

func (s *memoryGroup) step(id ReplicaID, message Message) {
	s.steps++
	for _, action := range s.machines[id].Step(sim.Epoch, message) {
		switch action := action.(type) {
		case Persist:
			s.queue = append(s.queue, delivery{id, Persisted{Sequence: action.Sequence}})
		case Send:
			s.queue = append(s.queue, delivery{action.Message.To, Received(action)})
		case Apply:
			s.applied = max(s.applied, action.Entries[len(action.Entries)-1].Index)
		}
	}
}

func (s *memoryGroup) drain() {
	for i := 0; i < len(s.queue); i++ {
		s.step(s.queue[i].to, s.queue[i].message)
	}
	s.queue = s.queue[:0]
}

// BenchmarkAppend commits commands of 256 bytes, 64 per batch.
func BenchmarkAppend(b *testing.B) {
	const batchSize, compactEvery = 64, 1 << 14
	data := make([]byte, 256)
	for _, voters := range []int{1, 3, 5} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			s := newMemoryGroup(voters)
			s.steps = 0
			b.ReportAllocs()
			b.ResetTimer()
			for done := 0; done < b.N; done += batchSize {
				for range min(batchSize, b.N-done) {
					s.step("r0", Propose{Data: data})
				}
				s.drain()
				if done%compactEvery == 0 {
					s.compact()
				}
			}
			b.ReportMetric(float64(s.steps)/b.Elapsed().Seconds(), "steps/s")
			b.ReportMetric(float64(s.steps)/float64(b.N), "steps/op")
			if last := s.machines["r0"].log.last(); s.applied != last {
				b.Fatalf("applied %d of %d", s.applied, last)
			}
		})
	}
}

func (s *memoryGroup) compact() {
	for id, machine := range s.machines {
		s.step(id, Compact{Snapshot: Snapshot{Index: machine.applied}})
	}
	s.drain()
}

// failoverTime returns the virtual time from an event at the leader until another
// replica has committed an entry of its own term.
func failoverTime(seed uint64, voters int, event func(c *cluster, leader *replica)) time.Duration {
	c := newCluster(options{seed: seed, voters: voters})
	c.simulation.Run(2 * time.Second)
	var leader *replica
	for _, r := range c.replicas {
		if r.leading {
			leader = r
		}
	}
	c.simulation.Run(time.Duration(c.simulation.Random().Int64N(int64(testHeartbeat))))
	start := c.simulation.Elapsed()
	event(c, leader)
	for c.simulation.Elapsed() < start+10*time.Second {
		c.simulation.Run(time.Millisecond)
		for _, r := range c.replicas {
			if r != leader && r.leading && r.machine.committed >= r.machine.termStart {
				return c.simulation.Elapsed() - start
			}
		}
	}
	return c.simulation.Elapsed() - start
}

// BenchmarkFailover reports virtual time over b.N seeds: heartbeat 50 ms, election
// timeout 300 ms, network latency 0.5 to 1 ms, disk sync up to 3 ms.
func BenchmarkFailover(b *testing.B) {
	events := map[string]func(c *cluster, leader *replica){
		"crash": func(_ *cluster, leader *replica) { leader.crash() },
		"transfer": func(_ *cluster, leader *replica) {
			leader.step(TransferLeadership{Token: 1})
		},
	}
	for _, event := range []string{"crash", "transfer"} {
		for _, voters := range []int{3, 5} {
			b.Run(fmt.Sprintf("%s/voters=%d", event, voters), func(b *testing.B) {
				var times []time.Duration
				for seed := range b.N {
					times = append(times, failoverTime(uint64(seed), voters, events[event]))
				}
				slices.Sort(times)
				at := func(share float64) float64 {
					return float64(times[int(share*float64(len(times)-1))].Microseconds()) / 1000
				}
				b.ReportMetric(at(0.5), "p50-virtual-ms")
				b.ReportMetric(at(0.99), "p99-virtual-ms")
				b.ReportMetric(at(1), "max-virtual-ms")
			})
		}
	}
}

// BenchmarkMessages counts the messages of one group per virtual second, idle and with
// 12 commands of 500 bytes per second.
func BenchmarkMessages(b *testing.B) {
	const span = 60
	for name, interval := range map[string]time.Duration{"idle": 0, "12 commands/s": time.Second / 12} {
		b.Run(name, func(b *testing.B) {
			messages, bytes := 0, 0
			for seed := range b.N {
				c := newCluster(options{seed: uint64(seed), voters: 3})
				c.simulation.Run(2 * time.Second)
				c.drop = func(w WireMessage) bool {
					encoded, _ := json.Marshal(w)
					messages, bytes = messages+1, bytes+len(encoded)
					return false
				}
				if interval > 0 {
					c.startLoad(interval)
				}
				c.simulation.Run(span * time.Second)
			}
			b.ReportMetric(float64(messages)/span/float64(b.N), "messages/virtual-s")
			b.ReportMetric(float64(bytes)/span/float64(b.N), "JSON-bytes/virtual-s")
		})
	}
}

// startLoad proposes a command of 500 bytes at the leader every interval.
func (c *cluster) startLoad(interval time.Duration) {
	c.simulation.After(interval, func() {
		for _, r := range c.replicas {
			if r.leading {
				c.serial++
				r.step(Propose{Token: c.serial, Data: make([]byte, 500)})
			}
		}
		c.startLoad(interval)
	})
}
