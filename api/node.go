package api

// Node is one process of the system as membership knows it.
type Node struct {
	ID       NodeID   `json:"id"`
	Role     Role     `json:"role"`
	Address  string   `json:"address"` // host:port, IP only
	Location Location `json:"location,omitzero"`
	// Incarnation grows on each start and on each refuted suspicion; the
	// record with the higher one wins.
	Incarnation uint64 `json:"incarnation"`
	// Leaving: the node finishes what it has and takes nothing new.
	Leaving bool `json:"leaving,omitempty"`
	// Suspected: it did not answer lately. Only in a view, never sent.
	Suspected bool `json:"-"`
	// TableRevision is the newest table revision in force there.
	TableRevision int64 `json:"table_revision,omitempty"`
	// Summary is the load that the node reports; empty for sidecars.
	Summary Summary `json:"summary,omitzero"`
}

// Summary is the small load report that travels with a node's heartbeat.
type Summary struct {
	Sequence uint64           `json:"sequence,omitempty"` // grows with each report of an incarnation
	Services []ServiceSummary `json:"services,omitempty"` // routers: what their homed workers offer
	Groups   []GroupSummary   `json:"groups,omitempty"`   // stores: replicas held
	// Replica is the identity of a store's disk, by which the other replicas
	// of its groups find its address. A new disk has a new one.
	Replica string `json:"replica,omitempty"`
	// DiskFull: the store takes no new jobs and files.
	DiskFull bool `json:"disk_full,omitempty"`
	// Apart: a frontend does not reach the stores itself; callers are better off at
	// another one.
	Apart bool `json:"apart,omitempty"`
}

// ServiceSummary is one row's load at one home router.
type ServiceSummary struct {
	Service ServiceName `json:"service"`
	Place   PlaceName   `json:"place"`
	Workers int         `json:"workers"` // homed, live and not leaving
	Slots   int         `json:"slots"`   // sum of their slots
	Online  int         `json:"online"`  // online requests in flight
	Batch   int         `json:"batch"`   // batch requests in flight
}

// Key names the row that the summary is about.
func (s ServiceSummary) Key() RowKey { return RowKey{Service: s.Service, Place: s.Place} }

// GroupID names a replicated group of job shards.
type GroupID uint32

// GroupSummary is what a store says of one replica that it holds.
type GroupSummary struct {
	Group   GroupID          `json:"group"`
	Term    uint64           `json:"term"`
	Leading bool             `json:"leading,omitempty"`
	Waiting []ServiceBacklog `json:"waiting,omitempty"` // only from the leader
}

// ServiceBacklog counts batch items that wait for a service.
type ServiceBacklog struct {
	Service ServiceName `json:"service"`
	Items   int         `json:"items"`
}
