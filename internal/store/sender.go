package store

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/logform"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/replication"
)

const (
	pathMessages         = api.PathGroups + "messages"
	pathIdentity         = api.PathGroups + "identity"
	queuedMessages       = 4096 // to one replica; more are dropped
	queuedBytes          = 32 << 20
	maximumBatchBytes    = 4 << 20
	maximumMessagesBytes = 64 << 20 // of a received body
	messageOverhead      = 128      // bytes a message counts beside its data
	sendTimeout          = 5 * time.Second
)

// messageBatch is the body of one exchange: messages of many groups to one
// replica, in order.
type messageBatch struct {
	From     replication.ReplicaID     `json:"from"`
	Address  string                    `json:"address"` // where From is reached
	Messages []replication.WireMessage `json:"messages"`
	// Members are other replicas of the sender's groups with their addresses, now
	// and then: followers that lose their leader have to reach each other.
	Members map[replication.ReplicaID]string `json:"members,omitempty"`
	// Reads is what the sender's process reads; an older one says nothing.
	Reads logform.Level `json:"reads,omitempty"`
}

// tellInterval is the time between two lists of members to one replica.
const tellInterval = 500 * time.Millisecond

// sender sends messages to other replicas, in order for each, as many in one
// body as wait. What can't be sent is dropped: replication sends it again.
type sender struct {
	self    replication.ReplicaID
	address string
	client  *http.Client
	peers   *peers
	metrics *metrics
	reads   logform.Level // that this process says it does

	mutex  sync.Mutex // guards queues and closed
	queues map[replication.ReplicaID]*sendQueue
	closed bool
	done   sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

type sendQueue struct {
	messages []replication.WireMessage
	bytes    int
	wake     chan struct{}
	told     time.Time // when members' addresses last went, only for the sending goroutine
}

func newSender(self replication.ReplicaID, address string, peers *peers, metrics *metrics, traffic *transport.Traffic, reads logform.Level) *sender {
	const connections = 2
	ctx, cancel := context.WithCancel(context.Background())
	return &sender{
		self: self, address: address, client: traffic.Count(transport.NewClient(connections), transport.KindLog), peers: peers, metrics: metrics, reads: reads,
		queues: map[replication.ReplicaID]*sendQueue{}, ctx: ctx, cancel: cancel,
	}
}

// send queues a message; it does not block.
func (s *sender) send(message replication.WireMessage) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return
	}
	queue := s.queues[message.To]
	if queue == nil {
		queue = &sendQueue{wake: make(chan struct{}, 1)}
		s.queues[message.To] = queue
		s.done.Go(func() { s.run(message.To, queue) })
	}
	size := messageSize(message)
	if len(queue.messages) >= queuedMessages || queue.bytes+size > queuedBytes {
		s.metrics.dropped.Inc()
		return
	}
	queue.messages = append(queue.messages, message)
	queue.bytes += size
	select {
	case queue.wake <- struct{}{}:
	default:
	}
}

func messageSize(message replication.WireMessage) int {
	size := messageOverhead
	for _, entry := range message.Entries {
		size += messageOverhead + len(entry.Data)
	}
	if message.Snapshot != nil {
		size += len(message.Snapshot.Data)
	}
	return size
}

// take gives the messages of the next body.
func (s *sender) take(queue *sendQueue) []replication.WireMessage {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count, size := 0, 0
	for count < len(queue.messages) && (count == 0 || size < maximumBatchBytes) {
		size += messageSize(queue.messages[count])
		count++
	}
	batch := queue.messages[:count:count]
	queue.messages = queue.messages[count:]
	queue.bytes -= size
	return batch
}

func (s *sender) run(to replication.ReplicaID, queue *sendQueue) {
	for {
		select {
		case <-queue.wake:
		case <-s.ctx.Done():
			return
		}
		for batch := s.take(queue); len(batch) > 0; batch = s.take(queue) {
			s.post(to, queue, batch)
		}
	}
}

func (s *sender) post(to replication.ReplicaID, queue *sendQueue, batch []replication.WireMessage) {
	address, ok := s.peers.address(time.Now(), to)
	if !ok {
		s.metrics.dropped.Add(float64(len(batch)))
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, sendTimeout)
	defer cancel()
	body := messageBatch{From: s.self, Address: s.address, Messages: batch, Reads: s.reads}
	if now := time.Now(); now.Sub(queue.told) > tellInterval {
		queue.told = now
		body.Members = s.peers.heardAddresses(now, to)
	}
	if err := s.exchange(ctx, to, address, body); err != nil {
		s.metrics.dropped.Add(float64(len(batch)))
		return
	}
	s.metrics.sent.Add(float64(len(batch)))
}

// framedFrom is how many bytes of entries are worth two parts: a third of them is more than
// the parts' own bytes.
const framedFrom = 1 << 10

// entryBytes counts the data of a body's entries.
func entryBytes(body messageBatch) (total int) {
	for _, message := range body.Messages {
		for _, entry := range message.Entries {
			total += len(entry.Data)
		}
	}
	return total
}

// exchange sends a body in a form that its receiver reads. One that refuses a frame may
// have been put back to an older version: it gets plain bodies until it says otherwise.
func (s *sender) exchange(ctx context.Context, to replication.ReplicaID, address string, body messageBatch) error {
	const step = "send log messages"
	if min(s.peers.level(to), s.reads) < logform.Multipart || entryBytes(body) < framedFrom {
		return transport.Call(ctx, s.client, step, address, pathMessages, body, nil)
	}
	contentType, framed, err := frameBatch(to, body)
	if err != nil {
		return err
	}
	failure := transport.Post(ctx, s.client, step, address, pathMessages, contentType, framed)
	if failure != nil && failure.Code == api.CodeBadRequest {
		s.peers.saysReads(to, logform.Plain)
	}
	if failure != nil {
		return failure
	}
	return nil
}

// close stops without sending what waits.
func (s *sender) close() {
	s.mutex.Lock()
	s.closed = true
	s.mutex.Unlock()
	s.cancel()
	s.done.Wait()
	s.client.CloseIdleConnections()
}
