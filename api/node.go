package api

// Node is one process in the membership view.
type Node struct {
	ID       NodeID   `json:"id"`
	Role     Role     `json:"role"`
	Address  string   `json:"address"` // host:port, IP only
	Location Location `json:"location,omitzero"`
	// Incarnation increases on each start and each refuted suspicion; the record with
	// the highest one wins.
	Incarnation uint64 `json:"incarnation"`
	// Leaving is set while the node drains: it finishes its work and accepts no more.
	Leaving bool `json:"leaving,omitempty"`
	// Suspected is set in a view if the node did not respond lately. It is never sent.
	Suspected bool `json:"-"`
	// TableRevision is the node's current table revision.
	TableRevision int64 `json:"table_revision,omitempty"`
	// Summary is the load reported by the node; empty for sidecars.
	Summary LoadSummary `json:"summary,omitzero"`
}

// LoadSummary is the load report in a node's heartbeat.
type LoadSummary struct {
	Sequence uint64           `json:"sequence,omitempty"` // incremented with each report of an incarnation
	Services []ServiceSummary `json:"services,omitempty"` // routers: load and capacity of their homed workers
	Groups   []GroupSummary   `json:"groups,omitempty"`   // stores: replicas held
	// Replica identifies a store's disk; the other replicas of its groups find its
	// address by it. A new disk gets a new identity.
	Replica string `json:"replica,omitempty"`
	// DiskFull is set if the store accepts no new jobs and files.
	DiskFull bool `json:"disk_full,omitempty"`
	// StoresUnreachable is set if a frontend cannot reach the stores directly; callers should
	// prefer another one.
	StoresUnreachable bool `json:"apart,omitempty"`
}

// ServiceSummary is the load of one row's workers at their home router.
type ServiceSummary struct {
	Service ServiceName `json:"service"`
	Place   PlaceName   `json:"place"`
	Workers int         `json:"workers"` // homed here, live and not leaving
	Slots   int         `json:"slots"`   // sum of their slots
	Online  int         `json:"online"`  // online requests in flight
	Batch   int         `json:"batch"`   // batch requests in flight
}

// Key returns the key of the row that the summary is about.
func (s ServiceSummary) Key() RowKey { return RowKey{Service: s.Service, Place: s.Place} }

// GroupID identifies a replicated group of job shards.
type GroupID uint32

// GroupSummary is the state of one replica held by a store.
type GroupSummary struct {
	Group   GroupID          `json:"group"`
	Term    uint64           `json:"term"`
	Leading bool             `json:"leading,omitempty"`
	Waiting []ServiceBacklog `json:"waiting,omitempty"` // reported only by the leader
}

// ServiceBacklog is the number of batch items queued for a service.
type ServiceBacklog struct {
	Service ServiceName `json:"service"`
	Items   int         `json:"items"`
}
