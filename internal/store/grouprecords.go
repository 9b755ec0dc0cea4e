package store

import (
	"encoding/json"
	"errors"
	"maps"
	"strconv"
	"strings"
	"sync"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/internal/storeclient"
)

// errRecordsUnknown is returned before the first complete listing of group records.
var errRecordsUnknown = errors.New("group records not loaded yet")

// GroupRecords caches the groups published with a key-value service; it is a catalog.View and
// safe for concurrent use. It shares the process's watch, so that stores don't have to poll the
// records.
type GroupRecords struct {
	Prefix string // of the service's keys

	mutex   sync.Mutex // guards all below
	loaded  bool
	records map[api.GroupID]publishedGroup
}

// publishedGroup is a group's record with its revision.
type publishedGroup struct {
	record   groupRecord
	revision int64
	err      error // decoding error
}

// Reset replaces the cache by a complete listing.
func (g *GroupRecords) Reset(result kv.RangeResult) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.loaded, g.records = true, map[api.GroupID]publishedGroup{}
	for _, pair := range result.Pairs {
		g.put(pair)
	}
}

// Apply applies updates of records; deletions are ignored.
func (g *GroupRecords) Apply(batch kv.Batch) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, event := range batch.Events {
		if !event.Deleted {
			g.put(event.Pair)
		}
	}
}

// Observe takes a record returned by a write of this store, ahead of the watch: the one
// written, or the conflicting one.
func (g *GroupRecords) Observe(pair kv.Pair) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.put(pair)
}

// put stores a record unless a newer one is known; the mutex is held.
func (g *GroupRecords) put(pair kv.Pair) {
	number, err := strconv.ParseUint(strings.TrimPrefix(pair.Key, g.Prefix+storeclient.PrefixGroups), 10, 32)
	id := api.GroupID(number)
	if err != nil || g.records == nil || pair.Revision <= g.records[id].revision {
		return
	}
	published := publishedGroup{revision: pair.Revision}
	published.err = json.Unmarshal(pair.Value, &published.record)
	g.records[id] = published
}

// all returns a copy of the records, or errRecordsUnknown.
func (g *GroupRecords) all() (map[api.GroupID]publishedGroup, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.loaded {
		return nil, errRecordsUnknown
	}
	return maps.Clone(g.records), nil
}
