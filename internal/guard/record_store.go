package guard

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/internal/sleep"
	"github.com/dykewing/dykewing/quarantine"
)

// Prefix of the keys of quarantined requests, below the prefix of the key-value service.
// Every process receives them through the same watch as the configuration.
const Prefix = "quarantine/"

// publishRetryInterval is the delay before a failed write is retried.
const publishRetryInterval = time.Second

// record is the value of a key; the key ends with the digest.
type record struct {
	Workers []string `json:"workers"`
	Trials  int      `json:"trials"`
}

func recordOfEntry(entry quarantine.Entry) *record {
	return &record{Workers: entry.Workers, Trials: entry.Trials}
}

// recordStore mirrors the published records and writes changes to the key-value service. It
// implements catalog.View.
type recordStore struct {
	service kv.Service
	prefix  string // includes Prefix
	log     *logrus.Entry
	changed func(digest quarantine.Digest, exists bool, trials int) // called without the mutex

	mutex   sync.Mutex // guards all below
	records map[quarantine.Digest]record
	pending map[quarantine.Digest]*record // unwritten changes; nil removes the record
	wake    chan struct{}
}

func newRecordStore(service kv.Service, prefix string, log *logrus.Entry, changed func(quarantine.Digest, bool, int)) *recordStore {
	return &recordStore{
		service: service, prefix: prefix + Prefix, log: log, changed: changed,
		records: map[quarantine.Digest]record{}, pending: map[quarantine.Digest]*record{}, wake: make(chan struct{}, 1),
	}
}

// Reset replaces all records.
func (p *recordStore) Reset(result kv.RangeResult) {
	listed := map[quarantine.Digest]bool{}
	for _, pair := range result.Pairs {
		listed[p.digest(pair.Key)] = true
		p.put(pair)
	}
	for _, digest := range p.digests() {
		if !listed[digest] {
			p.remove(digest)
		}
	}
}

// Apply applies changes of records.
func (p *recordStore) Apply(batch kv.Batch) {
	for _, event := range batch.Events {
		if event.Deleted {
			p.remove(p.digest(event.Pair.Key))
		} else {
			p.put(event.Pair)
		}
	}
}

func (p *recordStore) digest(key string) quarantine.Digest {
	return quarantine.Digest(strings.TrimPrefix(key, p.prefix))
}

func (p *recordStore) put(pair kv.Pair) {
	digest, value := p.digest(pair.Key), record{}
	if err := json.Unmarshal(pair.Value, &value); err != nil || !digest.Valid() {
		p.log.WithFields(logrus.Fields{"event": "quarantine_refused", "key": pair.Key}).WithError(err).Error("The record of a quarantined request is malformed; it is ignored.")
		return
	}
	p.mutex.Lock()
	before, known := p.records[digest]
	p.records[digest] = value
	p.mutex.Unlock()
	if !known || value.Trials > before.Trials {
		p.changed(digest, true, value.Trials)
	}
}

func (p *recordStore) remove(digest quarantine.Digest) {
	p.mutex.Lock()
	_, known := p.records[digest]
	delete(p.records, digest)
	p.mutex.Unlock()
	if known {
		p.changed(digest, false, 0)
	}
}

func (p *recordStore) digests() []quarantine.Digest {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.Sorted(maps.Keys(p.records))
}

// contains reports whether a record of the request is published, as far as this process has
// received.
func (p *recordStore) contains(digest quarantine.Digest) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_, ok := p.records[digest]
	return ok
}

// state reports whether a record of the request is published, and whether this process is about to
// remove it.
func (p *recordStore) state(digest quarantine.Digest) (published, removing bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_, published = p.records[digest]
	change, pending := p.pending[digest]
	return published, published && pending && change == nil
}

func (p *recordStore) count() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.records)
}

// list returns all records, unsorted.
func (p *recordStore) list() []QuarantinedRequest {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := make([]QuarantinedRequest, 0, len(p.records))
	for digest, value := range p.records {
		list = append(list, QuarantinedRequest{Digest: digest, Workers: value.Workers, Trials: value.Trials})
	}
	return list
}

// enqueue schedules the write of a record, or its removal if value is nil. Failed writes are
// retried.
func (p *recordStore) enqueue(digest quarantine.Digest, value *record) {
	p.mutex.Lock()
	p.pending[digest] = value
	p.mutex.Unlock()
	notify(p.wake)
}

// run writes pending changes until ctx is done.
func (p *recordStore) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-p.wake:
		case <-ctx.Done():
			return
		}
		for !p.writeAll(ctx) {
			if !sleep.For(ctx, publishRetryInterval) {
				return
			}
		}
	}
}

// writeAll tries to write all pending changes once and reports whether all succeeded.
func (p *recordStore) writeAll(ctx context.Context) bool {
	p.mutex.Lock()
	pending := maps.Clone(p.pending)
	p.mutex.Unlock()
	done := true
	for digest, value := range pending {
		if err := p.write(ctx, digest, value); err != nil {
			p.log.WithFields(logrus.Fields{"event": "quarantine_not_written", "digest": digest}).WithError(err).Warn("The record of a quarantined request could not be written; the write is retried.")
			done = false
			continue
		}
		p.mutex.Lock()
		if p.pending[digest] == value {
			delete(p.pending, digest)
		}
		p.mutex.Unlock()
	}
	return done
}

// errConflict is returned if another process changed a record since it was read.
var errConflict = errors.New("record changed concurrently")

// write sets the record of a digest by compare-and-swap, or removes it if value is nil.
func (p *recordStore) write(ctx context.Context, digest quarantine.Digest, value *record) error {
	key := p.prefix + string(digest)
	current, _, err := p.service.Read(ctx, key)
	if err != nil {
		return fmt.Errorf("read %s: %w", key, err)
	}
	swap := kv.Swap{Key: key, Delete: value == nil}
	if current != nil {
		swap.Expected = current.Revision
	}
	if value == nil && current == nil {
		return nil
	}
	if value != nil {
		if swap.Value, err = json.Marshal(value); err != nil {
			return err
		}
		if current != nil && string(current.Value) == string(swap.Value) {
			return nil
		}
	}
	result, err := p.service.Swap(ctx, swap)
	if err != nil {
		return fmt.Errorf("write %s: %w", key, err)
	}
	if !result.Succeeded {
		return fmt.Errorf("write %s: %w", key, errConflict)
	}
	return nil
}
