package store

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/internal/storeclient"
	"github.com/dykewing/dykewing/placement"
	"github.com/dykewing/dykewing/replication"
)

// Keys under the service's prefix.
const (
	prefixStores       = storeclient.PrefixStores
	prefixGroups       = storeclient.PrefixGroups
	bootstrapInterval  = 500 * time.Millisecond
	publishingInterval = 10 * time.Second // once all groups are formed
)

const (
	// formers are the stores that form groups, the first that are registered: each asks
	// every candidate whether it is there, so that all of them would ask the square of
	// their number.
	formers = 3
	// formPatience is for how long the others leave it to them.
	formPatience = 5 * time.Second
	// sameCandidates looks in a row say that no more stores come: longer than changes are
	// gathered on their way from the service.
	sameCandidates = 3
)

// storeRecord registers a disk, so that groups can be formed of it.
type storeRecord = storeclient.StoreRecord

// groupRecord fixes a group's first members. Members is what the group itself
// has committed since; it is only told here, never decided.
type groupRecord struct {
	First   replication.Members `json:"first"`
	Members replication.Members `json:"members"`
	Index   uint64              `json:"index"` // of the entry that made Members
	// Leader is told for processes that start: it is who led when it was written.
	Leader storeclient.GroupLeader `json:"leader,omitzero"`
}

// meetOtherStores registers this store, forms groups that are missing, starts
// those that list this store first and publishes what members have become. What
// the service refuses or loses is tried again; nothing here is needed by groups
// that run.
func (s *Store) meetOtherStores(ctx context.Context) {
	for {
		formed, err := s.meetOnce(ctx)
		if err != nil && ctx.Err() == nil {
			s.log.WithError(err).Debug("Key-value service does not answer; the groups go on without it.")
		}
		interval := bootstrapInterval
		if formed {
			interval = publishingInterval
		}
		select {
		case <-time.After(interval):
		case <-s.changed:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Store) meetOnce(ctx context.Context) (formed bool, err error) {
	if err := s.register(ctx); err != nil {
		return false, err
	}
	records, revisions, err := s.readGroups(ctx)
	if err != nil {
		return false, err
	}
	if len(records) < s.node.Settings.Store.Groups {
		return false, s.formGroups(ctx, records)
	}
	for id, record := range records {
		if err := s.startFirst(id, record); err != nil {
			s.log.WithError(err).WithField("group", id).Error("The group could not be started.")
		}
		published, err := s.publish(ctx, id, record, revisions[id])
		if !published || err != nil {
			return false, err
		}
	}
	return true, nil
}

// register writes this store's record if it is not there or says otherwise.
func (s *Store) register(ctx context.Context) error {
	if s.registered {
		return nil
	}
	value, err := json.Marshal(storeRecord{
		Replica: s.shared.database.identity, Node: s.node.ID(), Address: s.node.Address(), Location: s.node.Settings.Node.Location(),
	})
	if err != nil {
		return err
	}
	key := s.key(prefixStores + string(s.shared.database.identity))
	result, err := s.node.KeyValue.Swap(ctx, kv.Swap{Key: key, Value: value})
	if err == nil && !result.Succeeded && result.Standing != nil && string(result.Standing.Value) != string(value) {
		result, err = s.node.KeyValue.Swap(ctx, kv.Swap{Key: key, Value: value, Expected: result.Standing.Revision})
	}
	if err != nil {
		return fmt.Errorf("register store: %w", err)
	}
	s.registered = result.Succeeded || result.Standing != nil && string(result.Standing.Value) == string(value)
	return nil
}

func (s *Store) key(rest string) string { return s.node.Settings.KeyValueService.Prefix + rest }

func (s *Store) groupRecordKey(id api.GroupID) string {
	return s.key(storeclient.GroupKey(id))
}

// readGroups gives the published groups with their revisions: as the service tells them to
// all, else read for this store.
func (s *Store) readGroups(ctx context.Context) (map[api.GroupID]groupRecord, map[api.GroupID]int64, error) {
	if s.records != nil {
		return s.knownGroups()
	}
	prefix := s.key(prefixGroups)
	found, err := s.node.KeyValue.Range(ctx, prefix)
	if err != nil {
		return nil, nil, fmt.Errorf("read groups: %w", err)
	}
	records, revisions := map[api.GroupID]groupRecord{}, map[api.GroupID]int64{}
	for _, pair := range found.Pairs {
		var id api.GroupID
		var record groupRecord
		if _, err := fmt.Sscanf(strings.TrimPrefix(pair.Key, prefix), "%d", &id); err != nil {
			return nil, nil, fmt.Errorf("read groups: key %s: %w", pair.Key, err)
		}
		if err := json.Unmarshal(pair.Value, &record); err != nil {
			return nil, nil, fmt.Errorf("read groups: key %s: %w", pair.Key, err)
		}
		records[id], revisions[id] = record, pair.Revision
	}
	return records, revisions, nil
}

func (s *Store) knownGroups() (map[api.GroupID]groupRecord, map[api.GroupID]int64, error) {
	all, err := s.records.all()
	if err != nil {
		return nil, nil, err
	}
	records, revisions := map[api.GroupID]groupRecord{}, map[api.GroupID]int64{}
	for id, each := range all {
		if each.err != nil {
			return nil, nil, fmt.Errorf("read groups: group %d: %w", id, each.err)
		}
		records[id], revisions[id] = each.record, each.revision
	}
	return records, revisions, nil
}

// swapRecord writes a group's record under the condition of its revision.
func (s *Store) swapRecord(ctx context.Context, id api.GroupID, value []byte, expected int64) (kv.SwapResult, error) {
	key := s.groupRecordKey(id)
	result, err := s.node.KeyValue.Swap(ctx, kv.Swap{Key: key, Value: value, Expected: expected})
	if err != nil || s.records == nil {
		return result, err
	}
	switch {
	case result.Succeeded:
		s.records.Written(kv.Pair{Key: key, Value: value, Revision: result.Revision})
	case result.Standing != nil:
		s.records.Written(*result.Standing)
	}
	return result, nil
}

// forms tells whether this store is one of those that form groups.
func (s *Store) forms(records []storeRecord) bool {
	rank := slices.IndexFunc(records, func(r storeRecord) bool { return r.Replica == s.shared.database.identity })
	return rank >= 0 && rank < formers || time.Since(s.began) > formPatience
}

// formGroups fixes the first members of missing groups once there are enough
// live stores; the first swap that creates the key decides.
func (s *Store) formGroups(ctx context.Context, known map[api.GroupID]groupRecord) error {
	registered, err := s.readStores(ctx)
	if err != nil || !s.forms(registered) {
		return err
	}
	candidates := s.aliveStores(ctx, registered)
	if len(candidates) != s.candidates {
		s.candidates, s.looks = len(candidates), 0
	}
	if s.looks++; s.looks < sameCandidates {
		// Others may still be starting; groups formed now would all be on those that
		// were first.
		return nil
	}
	held := heldGroups(known)
	for id := range api.GroupID(s.node.Settings.Store.Groups) {
		if _, ok := known[id]; ok {
			continue
		}
		for i := range candidates {
			candidates[i].Groups = held[candidates[i].Replica]
		}
		first, ok := s.firstMembers(id, candidates)
		if !ok {
			s.log.Debugf("%d of %d stores are there; the groups wait.", len(candidates), s.node.Settings.Store.Voters())
			return nil
		}
		value, err := json.Marshal(groupRecord{First: first, Members: first})
		if err != nil {
			return err
		}
		if _, err := s.swapRecord(ctx, id, value, 0); err != nil {
			return fmt.Errorf("form group %d: %w", id, err)
		}
		for _, replica := range first.Voters {
			held[replica]++
		}
	}
	return nil
}

// firstMembers chooses a new group's voters by what they have to outlive.
func (s *Store) firstMembers(id api.GroupID, candidates []placement.Store) (replication.Members, bool) {
	settings := s.node.Settings.Store
	if settings.Gathered() {
		return placement.GatheredMembers(id, candidates, settings.Voters())
	}
	return placement.FirstMembers(id, candidates, settings.Voters())
}

// heldGroups counts the groups that each replica is of.
func heldGroups(known map[api.GroupID]groupRecord) map[replication.ReplicaID]int {
	held := map[replication.ReplicaID]int{}
	for _, record := range known {
		for _, replica := range record.First.Voters {
			held[replica]++
		}
	}
	return held
}

// aliveStores are those of the registered that are seen alive: a disk that was lost stays
// registered.
func (s *Store) aliveStores(ctx context.Context, records []storeRecord) []placement.Store {
	s.shared.peers.register(records)
	known := s.shared.peers.stores(time.Now())
	var stores []placement.Store
	for _, record := range records {
		if slices.ContainsFunc(known, func(store placement.Store) bool { return store.Replica == record.Replica }) && s.answers(ctx, record.Replica) {
			stores = append(stores, placement.Store{Replica: record.Replica, Location: record.Location})
		}
	}
	return stores
}

// readStores gives all registrations, the oldest first, as the service tells them to all,
// else read for this store.
func (s *Store) readStores(ctx context.Context) ([]storeRecord, error) {
	if s.registrations != nil {
		return s.registrations.Records(), nil
	}
	found, err := s.node.KeyValue.Range(ctx, s.key(prefixStores))
	if err != nil {
		return nil, fmt.Errorf("read stores: %w", err)
	}
	slices.SortFunc(found.Pairs, func(a, b kv.Pair) int { return cmp.Compare(a.Revision, b.Revision) })
	records := make([]storeRecord, 0, len(found.Pairs))
	for _, pair := range found.Pairs {
		var record storeRecord
		if err := json.Unmarshal(pair.Value, &record); err != nil {
			return nil, fmt.Errorf("read stores: key %s: %w", pair.Key, err)
		}
		records = append(records, record)
	}
	return records, nil
}

// startFirst starts a group whose first members this store is of and which it
// does not hold yet. A disk that was lost has another identity and never is.
func (s *Store) startFirst(id api.GroupID, record groupRecord) error {
	if _, ok := s.group(id); ok || !slices.Contains(record.First.Voters, s.shared.database.identity) {
		return nil
	}
	return s.startGroup(id, record.First)
}

// publish tells the service what the group has committed and who leads it, if this store
// does; false where the record has changed meanwhile.
func (s *Store) publish(ctx context.Context, id api.GroupID, record groupRecord, revision int64) (published bool, err error) {
	group, ok := s.group(id)
	if !ok {
		return true, nil
	}
	term, leads := group.leadingTerm()
	if !leads {
		return true, nil
	}
	next := record
	if at := group.members(); at.MembersIndex > record.Index {
		next.Members, next.Index = at.Members, at.MembersIndex
	}
	if term > record.Leader.Term {
		next.Leader = storeclient.GroupLeader{Node: s.node.ID(), Address: s.node.Address(), Term: term}
	}
	if next.Index == record.Index && next.Leader == record.Leader {
		return true, nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return false, err
	}
	result, err := s.swapRecord(ctx, id, value, revision)
	if err != nil {
		return false, fmt.Errorf("publish group %d: %w", id, err)
	}
	return result.Succeeded, nil
}
