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

// errRecordsUnknown says that the service has not told the groups' records yet.
var errRecordsUnknown = errors.New("the groups' records are not known yet")

// GroupRecords knows the groups that are published with a key-value service; it is a
// catalog.View. With it a store learns of changes as all processes do. Stores that each
// read the records for themselves made calls that followed their number.
type GroupRecords struct {
	Prefix string // of the service's keys

	mutex   sync.Mutex // guards all below
	known   bool
	records map[api.GroupID]publishedGroup
}

// publishedGroup is a group's record with its revision.
type publishedGroup struct {
	record   groupRecord
	revision int64
	err      error // why it can't be read
}

// Whole takes all records.
func (g *GroupRecords) Whole(result kv.RangeResult) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.known, g.records = true, map[api.GroupID]publishedGroup{}
	for _, pair := range result.Pairs {
		g.put(pair)
	}
}

// Changes takes records that changed.
func (g *GroupRecords) Changes(batch kv.Batch) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, event := range batch.Events {
		if !event.Deleted {
			g.put(event.Pair)
		}
	}
}

// Written takes a record that the service has told this store beside the changes: the
// one that it has written, or the one that stood in its way.
func (g *GroupRecords) Written(pair kv.Pair) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.put(pair)
}

// put takes a record, unless a newer one is known; the mutex is held.
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

// all gives the records as they are known.
func (g *GroupRecords) all() (map[api.GroupID]publishedGroup, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.known {
		return nil, errRecordsUnknown
	}
	return maps.Clone(g.records), nil
}
