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
	pathMessages      = api.PathGroups + "messages"
	pathIdentity      = api.PathGroups + "identity"
	maxQueuedMessages = 4096 // per replica; more are dropped
	maxQueuedBytes    = 32 << 20
	maxBatchBytes     = 4 << 20
	maxMessagesBytes  = 64 << 20 // of a received body
	messageOverhead   = 128      // bytes accounted per message and entry besides the data
	sendTimeout       = 5 * time.Second
)

// messageBatch is the body of a request: messages of many groups to one replica, in order.
type messageBatch struct {
	From     replication.ReplicaID     `json:"from"`
	Address  string                    `json:"address"` // where From can be reached
	Messages []replication.WireMessage `json:"messages"`
	// Members are addresses of other replicas, sent every advertiseInterval, so that followers
	// can reach each other when they lose their leader.
	Members map[replication.ReplicaID]string `json:"members,omitempty"`
	// Level is the log format that the sender's process decodes; older builds omit it.
	Level logform.Level `json:"reads,omitempty"`
}

// advertiseInterval is the minimum time between two lists of member addresses to one replica.
const advertiseInterval = 500 * time.Millisecond

// sender sends messages to other replicas, in order per replica and batched. Messages that
// can't be sent are dropped; replication resends them.
type sender struct {
	self    replication.ReplicaID
	address string
	client  *http.Client
	peers   *peers
	metrics *metrics
	level   logform.Level // announced to receivers

	mutex  sync.Mutex // guards queues and closed
	queues map[replication.ReplicaID]*sendQueue
	closed bool
	done   sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

type sendQueue struct {
	messages       []replication.WireMessage
	bytes          int
	wake           chan struct{}
	lastAdvertised time.Time // when member addresses were last sent; used by the sending goroutine only
}

func newSender(self replication.ReplicaID, address string, peers *peers, metrics *metrics, traffic *transport.Traffic, reads logform.Level) *sender {
	const connections = 2
	ctx, cancel := context.WithCancel(context.Background())
	return &sender{
		self: self, address: address, client: traffic.Instrument(transport.NewClient(connections), transport.KindLog), peers: peers, metrics: metrics, level: reads,
		queues: map[replication.ReplicaID]*sendQueue{}, ctx: ctx, cancel: cancel,
	}
}

// send queues a message without blocking.
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
	if len(queue.messages) >= maxQueuedMessages || queue.bytes+size > maxQueuedBytes {
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

// nextBatch removes the messages of the next body from the queue.
func (s *sender) nextBatch(queue *sendQueue) []replication.WireMessage {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count, size := 0, 0
	for count < len(queue.messages) && (count == 0 || size < maxBatchBytes) {
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
		for batch := s.nextBatch(queue); len(batch) > 0; batch = s.nextBatch(queue) {
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
	body := messageBatch{From: s.self, Address: s.address, Messages: batch, Level: s.level}
	if now := time.Now(); now.Sub(queue.lastAdvertised) > advertiseInterval {
		queue.lastAdvertised = now
		body.Members = s.peers.recentAddresses(now, to)
	}
	if err := s.postBatch(ctx, to, address, body); err != nil {
		s.metrics.dropped.Add(float64(len(batch)))
		return
	}
	s.metrics.sent.Add(float64(len(batch)))
}

// minMultipartBytes is the amount of entry data from which multipart bodies are smaller than
// JSON with base64.
const minMultipartBytes = 1 << 10

// entryBytes returns the size of the entries' data in a body.
func entryBytes(body messageBatch) (total int) {
	for _, message := range body.Messages {
		for _, entry := range message.Entries {
			total += len(entry.Data)
		}
	}
	return total
}

// postBatch sends a body in a format that its receiver decodes. A receiver that rejects a
// frame may have been downgraded; it gets plain bodies until it announces a higher level.
func (s *sender) postBatch(ctx context.Context, to replication.ReplicaID, address string, body messageBatch) error {
	const step = "send log messages"
	if min(s.peers.level(to), s.level) < logform.Multipart || entryBytes(body) < minMultipartBytes {
		return transport.Call(ctx, s.client, step, address, pathMessages, body, nil)
	}
	contentType, framed, err := encodeBatch(to, body)
	if err != nil {
		return err
	}
	failure := transport.Post(ctx, s.client, step, address, pathMessages, contentType, framed)
	if failure != nil && failure.Code == api.CodeBadRequest {
		s.peers.setLevel(to, logform.Plain)
	}
	if failure != nil {
		return failure
	}
	return nil
}

// close stops without sending the queued messages.
func (s *sender) close() {
	s.mutex.Lock()
	s.closed = true
	s.mutex.Unlock()
	s.cancel()
	s.done.Wait()
	s.client.CloseIdleConnections()
}
