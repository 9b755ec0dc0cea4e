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
	prefixStores      = storeclient.PrefixStores
	prefixGroups      = storeclient.PrefixGroups
	bootstrapInterval = 500 * time.Millisecond
	publishInterval   = 10 * time.Second // once all groups exist
)

const (
	// bootstrapStores is how many stores, the earliest registered, create groups. Each
	// probes every candidate, so letting all stores do it would need O(n²) requests.
	bootstrapStores = 3
	// bootstrapDelay is how long the other stores wait before they create groups too.
	bootstrapDelay = 5 * time.Second
	// stableRounds is how many consecutive rounds must see the same number of candidates
	// before groups are created; they take longer than the batching of watch events.
	stableRounds = 3
)

// storeRecord registers a disk as a candidate for replicas.
type storeRecord = storeclient.StoreRecord

// groupRecord fixes a group's initial members. Members is what the group has committed
// since; it is published here for information only.
type groupRecord struct {
	Initial replication.Members `json:"first"`
	Members replication.Members `json:"members"`
	Index   uint64              `json:"index"` // log index of the entry that set Members
	// Leader is the leader at the time of writing, for processes that have just started.
	Leader storeclient.GroupLeader `json:"leader,omitzero"`
}

// runBootstrap registers this store, creates missing groups, starts those whose initial
// members include this store, and publishes members and leaders. It retries until ctx
// ends. Running groups don't depend on it.
func (s *Store) runBootstrap(ctx context.Context) {
	for {
		complete, err := s.bootstrapOnce(ctx)
		if err != nil && ctx.Err() == nil {
			s.log.WithError(err).Debug("Bootstrap round failed; running groups are not affected.")
		}
		interval := bootstrapInterval
		if complete {
			interval = publishInterval
		}
		select {
		case <-time.After(interval):
		case <-s.publishRequests:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Store) bootstrapOnce(ctx context.Context) (complete bool, err error) {
	if err := s.register(ctx); err != nil {
		return false, err
	}
	records, revisions, err := s.readGroups(ctx)
	if err != nil {
		return false, err
	}
	if len(records) < s.node.Settings.Store.Groups {
		return false, s.createMissingGroups(ctx, records)
	}
	for id, record := range records {
		if err := s.startInitial(id, record); err != nil {
			s.log.WithError(err).WithField("group", id).Error("Starting a replica of the group failed.")
		}
		published, err := s.publish(ctx, id, record, revisions[id])
		if !published || err != nil {
			return false, err
		}
	}
	return true, nil
}

// register writes this store's record unless an identical one exists.
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
	if err == nil && !result.Succeeded && result.Current != nil && string(result.Current.Value) != string(value) {
		result, err = s.node.KeyValue.Swap(ctx, kv.Swap{Key: key, Value: value, Expected: result.Current.Revision})
	}
	if err != nil {
		return fmt.Errorf("register store: %w", err)
	}
	s.registered = result.Succeeded || result.Current != nil && string(result.Current.Value) == string(value)
	return nil
}

func (s *Store) key(rest string) string { return s.node.Settings.KeyValueService.Prefix + rest }

func (s *Store) groupRecordKey(id api.GroupID) string {
	return s.key(storeclient.GroupKey(id))
}

// readGroups returns the published groups with their revisions, from the shared watch if
// there is one, else read from the service.
func (s *Store) readGroups(ctx context.Context) (map[api.GroupID]groupRecord, map[api.GroupID]int64, error) {
	if s.records != nil {
		return s.cachedGroups()
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

func (s *Store) cachedGroups() (map[api.GroupID]groupRecord, map[api.GroupID]int64, error) {
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

// compareAndSwapRecord writes a group's record if its revision is the expected one; 0
// means that it does not exist.
func (s *Store) compareAndSwapRecord(ctx context.Context, id api.GroupID, value []byte, expected int64) (kv.SwapResult, error) {
	key := s.groupRecordKey(id)
	result, err := s.node.KeyValue.Swap(ctx, kv.Swap{Key: key, Value: value, Expected: expected})
	if err != nil || s.records == nil {
		return result, err
	}
	switch {
	case result.Succeeded:
		s.records.Observe(kv.Pair{Key: key, Value: value, Revision: result.Revision})
	case result.Current != nil:
		s.records.Observe(*result.Current)
	}
	return result, nil
}

// mayCreateGroups reports whether this store is among the bootstrapStores or the
// bootstrapDelay is over.
func (s *Store) mayCreateGroups(records []storeRecord) bool {
	rank := slices.IndexFunc(records, func(r storeRecord) bool { return r.Replica == s.shared.database.identity })
	return rank >= 0 && rank < bootstrapStores || time.Since(s.startedAt) > bootstrapDelay
}

// createMissingGroups fixes the initial members of missing groups once there are enough
// live stores; the first swap that creates the key wins.
func (s *Store) createMissingGroups(ctx context.Context, known map[api.GroupID]groupRecord) error {
	registered, err := s.readStores(ctx)
	if err != nil || !s.mayCreateGroups(registered) {
		return err
	}
	candidates := s.liveStores(ctx, registered)
	if len(candidates) != s.candidateCount {
		s.candidateCount, s.unchangedRounds = len(candidates), 0
	}
	if s.unchangedRounds++; s.unchangedRounds < stableRounds {
		// Other stores may still be starting; groups created now would all be placed
		// on the first ones.
		return nil
	}
	counts := replicaCounts(known)
	for id := range api.GroupID(s.node.Settings.Store.Groups) {
		if _, ok := known[id]; ok {
			continue
		}
		for i := range candidates {
			candidates[i].Groups = counts[candidates[i].Replica]
		}
		first, ok := s.initialMembers(id, candidates)
		if !ok {
			s.log.Debugf("Not creating groups yet: %d of %d stores are available.", len(candidates), s.node.Settings.Store.Voters())
			return nil
		}
		value, err := json.Marshal(groupRecord{Initial: first, Members: first})
		if err != nil {
			return err
		}
		if _, err := s.compareAndSwapRecord(ctx, id, value, 0); err != nil {
			return fmt.Errorf("create group %d: %w", id, err)
		}
		for _, replica := range first.Voters {
			counts[replica]++
		}
	}
	return nil
}

// initialMembers chooses a new group's voters by the configured placement policy; false
// when there are too few candidates.
func (s *Store) initialMembers(id api.GroupID, candidates []placement.Store) (replication.Members, bool) {
	settings := s.node.Settings.Store
	if settings.ConcentrateVoters() {
		return placement.CompactMembers(id, candidates, settings.Voters())
	}
	return placement.SpreadMembers(id, candidates, settings.Voters())
}

// replicaCounts returns for each store how many groups it is an initial voter of.
func replicaCounts(known map[api.GroupID]groupRecord) map[replication.ReplicaID]int {
	counts := map[replication.ReplicaID]int{}
	for _, record := range known {
		for _, replica := range record.Initial.Voters {
			counts[replica]++
		}
	}
	return counts
}

// liveStores returns the registered stores that are known and answer with their identity;
// the registration of a lost disk remains.
func (s *Store) liveStores(ctx context.Context, records []storeRecord) []placement.Store {
	s.shared.peers.register(records)
	known := s.shared.peers.stores(time.Now())
	var stores []placement.Store
	for _, record := range records {
		if slices.ContainsFunc(known, func(store placement.Store) bool { return store.Replica == record.Replica }) && s.verifyIdentity(ctx, record.Replica) {
			stores = append(stores, placement.Store{Replica: record.Replica, Location: record.Location})
		}
	}
	return stores
}

// readStores returns all registrations, the oldest first, from the shared watch if there
// is one, else read from the service.
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

// startInitial starts a replica of a group whose initial members include this store,
// unless it runs already. A replaced disk has a new identity and is never among them.
func (s *Store) startInitial(id api.GroupID, record groupRecord) error {
	if _, ok := s.group(id); ok || !slices.Contains(record.Initial.Voters, s.shared.database.identity) {
		return nil
	}
	return s.startGroup(id, record.Initial)
}

// publish writes the group's committed members and its leader to the key-value service if
// this store leads the group. It returns false if the record was changed concurrently.
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
	result, err := s.compareAndSwapRecord(ctx, id, value, revision)
	if err != nil {
		return false, fmt.Errorf("publish group %d: %w", id, err)
	}
	return result.Succeeded, nil
}
