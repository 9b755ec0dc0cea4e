// Package resume shares the origins of streams (package origin) between processes, so that a
// stream whose frontend is gone goes on at the version that began it, at whichever frontend its
// caller takes it up again. Each origin is kept in the memory of a few holders; nothing waits for
// them to store it. An origin that was lost is not found, and callers must not guess it.
package resume

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/clock"
	"github.com/dykewing/dykewing/internal/sleep"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/origin"
)

// Paths of the internal protocol.
const (
	PathRecords = "/internal/v1/origins/records" // POST; takes Records
	PathLookup  = "/internal/v1/origins/lookup"  // POST; takes a Lookup
)

// Record is the origin of one stream on the wire.
type Record struct {
	Key   origin.Key `json:"key"`
	TTLMs int64      `json:"ttl_ms"` // time until the stream's caller gives it up
	origin.Origin
}

// Records is a batch of records for one holder.
type Records struct {
	Records []Record `json:"records"`
}

// Lookup asks a holder for the origin of a stream.
type Lookup struct {
	Key origin.Key `json:"key"`
}

// LookupResponse is the response to a Lookup.
type LookupResponse struct {
	Found bool `json:"found"`
	origin.Origin
}

// MaxTTL is the longest time for which a record is kept.
const MaxTTL = 10 * time.Minute

const (
	// maxRecords bounds the memory of a process to a few megabytes.
	maxRecords = 16384
	// maxBatch bounds the records of one message; maxQueued those that wait for one holder, beyond
	// which the oldest are dropped.
	maxBatch        = 128
	maxQueued       = 1024
	maxMessageBytes = 64 << 10
	// sendTimeout and lookupTimeout bound one call to a holder.
	sendTimeout   = 300 * time.Millisecond
	lookupTimeout = 100 * time.Millisecond
	// A caller may be back before its stream's record has reached the holders. Holders are asked
	// again after retryPause, until searchTime has passed.
	retryPause = 30 * time.Millisecond
	searchTime = 120 * time.Millisecond
)

// Settings configure a Registry.
type Settings struct {
	// Holders returns the processes that a stream's origin is sent to, and those that are asked for
	// it, without this process. The latter are more, since views of the processes differ. Both may
	// be nil in a process that only holds records.
	Holders func(key origin.Key) (send, ask []api.Node)
	Client  *http.Client
	Log     *logrus.Entry
}

// Registry records and finds the origins of streams. It is safe for concurrent use.
type Registry struct {
	settings Settings

	mutex  sync.Mutex // guards all below
	table  *origin.Table
	queues map[api.NodeID]*queue
}

// queue holds the records that wait for one holder. It exists while a sender runs for it.
type queue struct {
	records []Record
}

func New(settings Settings) *Registry {
	return &Registry{settings: settings, table: origin.NewTable(maxRecords), queues: map[api.NodeID]*queue{}}
}

// Register registers the handlers of the internal protocol.
func (r *Registry) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+PathRecords, r.serveRecords)
	mux.HandleFunc("POST "+PathLookup, r.serveLookup)
}

// Record keeps the origin of a stream for ttl, here and at the stream's holders. It does not wait
// for them.
func (r *Registry) Record(key origin.Key, o origin.Origin, ttl time.Duration) {
	record := Record{Key: key, TTLMs: ttl.Milliseconds(), Origin: o}
	holders, _ := r.settings.Holders(key)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.table.Put(clock.Now(), key, o, ttl)
	for _, holder := range holders {
		q := r.queues[holder.ID]
		if q == nil {
			q = &queue{}
			r.queues[holder.ID] = q
			go r.send(holder, q)
		}
		q.records = append(q.records, record)
		if len(q.records) > maxQueued {
			q.records = q.records[len(q.records)-maxQueued:]
		}
	}
}

// send sends a holder's records until none is left. What arrives during a call goes with the next
// one.
func (r *Registry) send(holder api.Node, q *queue) {
	for {
		r.mutex.Lock()
		batch := q.records[:min(len(q.records), maxBatch)]
		q.records = q.records[len(batch):]
		if len(batch) == 0 {
			delete(r.queues, holder.ID)
			r.mutex.Unlock()
			return
		}
		r.mutex.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		err := transport.Call(ctx, r.settings.Client, "record origins", holder.Address, PathRecords, Records{Records: batch}, nil)
		cancel()
		if err != nil {
			r.settings.Log.WithFields(logrus.Fields{"event": "origins_not_recorded", "peer": holder.ID, "records": len(batch)}).WithError(err).
				Info("The origins of streams could not be kept at another process.")
		}
	}
}

// Find returns the origin of a stream, from this process or its holders. It takes up to
// searchTime, and longer by one lookup, if no holder that answers has it.
func (r *Registry) Find(ctx context.Context, key origin.Key) (origin.Origin, bool) {
	for start := clock.Now(); ; {
		if found, ok := r.local(key); ok {
			return found, true
		}
		_, holders := r.settings.Holders(key)
		if found, ok := r.ask(ctx, holders, key); ok {
			return found, true
		}
		if clock.Since(start)+retryPause > searchTime || !sleep.For(ctx, retryPause) {
			return origin.Origin{}, false
		}
	}
}

func (r *Registry) local(key origin.Key) (origin.Origin, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.table.Get(clock.Now(), key)
}

// ask asks all holders at once and returns the first origin that one has.
func (r *Registry) ask(ctx context.Context, holders []api.Node, key origin.Key) (origin.Origin, bool) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	answers := make(chan LookupResponse, len(holders))
	for _, holder := range holders {
		go func() {
			var answer LookupResponse
			if err := transport.Call(ctx, r.settings.Client, "find origin", holder.Address, PathLookup, Lookup{Key: key}, &answer); err != nil && ctx.Err() == nil {
				r.settings.Log.WithFields(logrus.Fields{"event": "origin_not_asked", "peer": holder.ID}).WithError(err).
					Info("A process that may know the origin of a stream did not answer.")
			}
			answers <- answer
		}()
	}
	for range holders {
		if answer := <-answers; answer.Found {
			return answer.Origin, true
		}
	}
	return origin.Origin{}, false
}

func (r *Registry) serveRecords(w http.ResponseWriter, request *http.Request) {
	const step = "read origins"
	var message Records
	if failure := transport.ReadJSON(w, request, step, maxMessageBytes, &message); failure != nil {
		transport.WriteError(w, failure)
		return
	}
	if len(message.Records) > maxBatch {
		transport.WriteError(w, api.NewError(step, "", api.CodeBadRequest, api.OutcomeNotRun, "%d records", len(message.Records)))
		return
	}
	for _, record := range message.Records {
		if !record.Key.Valid() || record.TTLMs <= 0 {
			transport.WriteError(w, api.NewError(step, "", api.CodeBadRequest, api.OutcomeNotRun, "key %q, %d ms", record.Key, record.TTLMs))
			return
		}
	}
	now := clock.Now()
	r.mutex.Lock()
	for _, record := range message.Records {
		r.table.Put(now, record.Key, record.Origin, min(time.Duration(record.TTLMs)*time.Millisecond, MaxTTL))
	}
	r.mutex.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (r *Registry) serveLookup(w http.ResponseWriter, request *http.Request) {
	var lookup Lookup
	if failure := transport.ReadJSON(w, request, "read question for an origin", maxMessageBytes, &lookup); failure != nil {
		transport.WriteError(w, failure)
		return
	}
	found, ok := r.local(lookup.Key)
	transport.WriteJSON(w, http.StatusOK, LookupResponse{Found: ok, Origin: found})
}
