// Package config reads and checks the settings file of a process.
//
// The file is strict YAML: an unknown key, a bad address or a value out of
// range is refused with its key and line.
package config

import (
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/ratelimit"
)

// Settings are all settings of a process; each role reads its own part.
type Settings struct {
	Node            Node            `koanf:"node"`
	Peers           []string        `koanf:"peers" validate:"dive,hostport_ip"`
	Membership      Membership      `koanf:"membership"`
	KeyValueService KeyValueService `koanf:"key_value_service"`
	MachineList     MachineList     `koanf:"machine_list"`
	Sidecar         Sidecar         `koanf:"sidecar"`
	Router          Router          `koanf:"router"`
	Store           Store           `koanf:"store"`
	Log             Log             `koanf:"log"`
	Frontend        Frontend        `koanf:"frontend"`
	Platform        Platform        `koanf:"platform"`
	Batch           Batch           `koanf:"batch"`
	Tenants         Tenants         `koanf:"tenants"`
}

// Node says who and where the process is.
type Node struct {
	ID      string `koanf:"id" validate:"required,max=128"`
	Address string `koanf:"address" validate:"required,hostport_ip"` // internal protocol, metrics and health
	Region  string `koanf:"region" validate:"required,max=128"`
	Zone    string `koanf:"zone" validate:"required,max=128"`
	// StopTimeout bounds how long a planned stop waits for streams.
	StopTimeout time.Duration `koanf:"stop_timeout" validate:"min=1s,max=24h"`
	// StopMargin is kept of StopTimeout for what ends after the streams, where a
	// platform kills the process at StopTimeout.
	StopMargin time.Duration `koanf:"stop_margin" validate:"min=0,max=1m,ltfield=StopTimeout"`
	// MemoryMB is what the process may take in all, in MiB, before it is killed; 0
	// is no bound. The heap is held to a part of it, and so is the log that stores
	// keep in memory.
	MemoryMB int `koanf:"memory_mb" validate:"min=0,max=1048576"`
	// ProcessorShare is how much of a core the process may use; 0 is not known.
	ProcessorShare float64 `koanf:"processor_share" validate:"min=0,max=1024"`
}

// heapShare of a process's memory is the heap's; the rest is for the program,
// stacks and mapped files.
const heapShare = 0.45

// HeapBytes is what the heap is held to; 0 is no bound.
func (n Node) HeapBytes() int64 { return int64(heapShare * float64(n.MemoryMB) * (1 << 20)) }

// StopWithin is how long a planned stop may take.
func (n Node) StopWithin() time.Duration { return n.StopTimeout - n.StopMargin }

// Location is the node's region and zone.
func (n Node) Location() api.Location {
	return api.Location{Region: api.RegionName(n.Region), Zone: api.ZoneName(n.Zone)}
}

// Membership sets the heartbeats between processes.
type Membership struct {
	Interval       time.Duration `koanf:"interval" validate:"min=10ms,max=1m"`
	SuspectTimeout time.Duration `koanf:"suspect_timeout" validate:"min=50ms,max=10m"`
}

// KeyValueService says where the operators' table is.
type KeyValueService struct {
	Endpoints         []string      `koanf:"endpoints" validate:"dive,url"`
	Prefix            string        `koanf:"prefix" validate:"required,startswith=/"`
	Timeout           time.Duration `koanf:"timeout" validate:"min=10ms,max=1m"`
	RequestsPerSecond float64       `koanf:"requests_per_second" validate:"gt=0,max=100000"`
	// Watchers is how many routers of the fleet watch the service.
	Watchers int `koanf:"watchers" validate:"min=1,max=100"`
}

// MachineList says where the platform lists workers, in the HTTP
// service-discovery JSON that Prometheus published.
type MachineList struct {
	URL      string        `koanf:"url" validate:"omitempty,url"`
	Interval time.Duration `koanf:"interval" validate:"min=10ms,max=10m"`
}

// Sidecar is for the role beside callers.
type Sidecar struct {
	Address          string        `koanf:"address" validate:"omitempty,hostport_ip"` // where callers connect
	DefaultDeadline  time.Duration `koanf:"default_deadline" validate:"min=100ms,max=24h"`
	MaximumBodyBytes int64         `koanf:"maximum_body_bytes" validate:"min=1024,max=1073741824"`
	MaximumFileBytes int64         `koanf:"maximum_file_bytes" validate:"min=1024,max=17179869184"`
}

// Router is for the role that is home of workers.
type Router struct {
	BatchReserve float64 `koanf:"batch_reserve" validate:"min=0,max=1"` // share of slots that batch leaves free
	// BatchStartPressure is the share of a row's workers up to which online
	// requests may wait for their first token while batch is still sent.
	BatchStartPressure float64       `koanf:"batch_start_pressure" validate:"min=0,max=1000"`
	ClaimWait          time.Duration `koanf:"claim_wait" validate:"min=10ms,max=1m"`
	LoadInterval       time.Duration `koanf:"load_interval" validate:"min=10ms,max=1m"`
	EngineTimeout      time.Duration `koanf:"engine_timeout" validate:"min=100ms,max=24h"`
}

// Frontend is for the role that takes callers' requests and sends them straight
// to workers.
type Frontend struct {
	Address         string `koanf:"address" validate:"omitempty,hostport_ip"`          // where callers connect
	ReadyAddress    string `koanf:"ready_address" validate:"omitempty,hostport_ip"`    // where readiness is asked
	RegistryAddress string `koanf:"registry_address" validate:"omitempty,hostport_ip"` // where callers ask for addresses
	// AddressLifetime is how long a caller may use the registry's answer; some
	// hold it ForgetFactor times as long.
	AddressLifetime time.Duration `koanf:"address_lifetime" validate:"min=100ms,max=1h"`
	ForgetFactor    float64       `koanf:"forget_factor" validate:"min=1,max=100"`
	// RetryAfter is the advice that goes with a refusal.
	RetryAfter time.Duration `koanf:"retry_after" validate:"min=1ms,max=1m"`
}

// Tenants says how exactly tenants' limits of requests are to hold.
type Tenants struct {
	// Window is the span over which they are counted, Overshoot the share and Allowance
	// the requests by which a window may pass the limit: the room for what processes
	// can't tell each other in time.
	Window    time.Duration `koanf:"window" validate:"min=100ms,max=1h"`
	Overshoot float64       `koanf:"overshoot" validate:"min=0,max=10"`
	Allowance float64       `koanf:"allowance" validate:"min=0,max=1000000"`
}

// Tolerance is what the limits' machines are given.
func (t Tenants) Tolerance() ratelimit.Tolerance {
	return ratelimit.Tolerance{Window: t.Window, Overshoot: t.Overshoot, Allowance: t.Allowance}
}

// Platform is where the platform keeps what lasts, for roles that run on it.
type Platform struct {
	StoreAddress string        `koanf:"store_address" validate:"omitempty,hostport_ip"`
	Timeout      time.Duration `koanf:"timeout" validate:"min=10ms,max=1m"`
	// Freshness bounds how long a watch may wait without a word: what the store
	// forgot to tell is found out within it.
	Freshness time.Duration `koanf:"freshness" validate:"min=100ms,max=30s"`
	// ChangesWithin is the time within which a change of the store's keys has to be
	// known in every process that can be reached.
	ChangesWithin time.Duration `koanf:"changes_within" validate:"min=500ms,max=1m"`
	// ReadsPerSecond and WritesPerSecond are what the store takes of all processes
	// together; each keeps to its part. 0 is no bound.
	ReadsPerSecond  float64 `koanf:"reads_per_second" validate:"min=0,max=1000000"`
	WritesPerSecond float64 `koanf:"writes_per_second" validate:"min=0,max=1000000"`
}

// longWaitShare of Freshness is how long a watch that a process keeps for itself
// waits for changes.
const longWaitShare = 0.75

// LongWait is how long a process that asks the store only for itself lets it wait.
func (p Platform) LongWait() time.Duration {
	return time.Duration(longWaitShare * float64(p.Freshness))
}

// Batch sets how a leading store runs batch items.
type Batch struct {
	// ReportInterval is how often workers are asked for their load while items run.
	ReportInterval time.Duration `koanf:"report_interval" validate:"min=10ms,max=1m"`
	// Silence is how long a worker may send nothing before its item goes on elsewhere.
	Silence time.Duration `koanf:"silence" validate:"min=100ms,max=10m"`
	// Retention of a job whose submission does not say.
	Retention time.Duration `koanf:"retention" validate:"min=1s"`
}

// Store is for the role with a small disk.
type Store struct {
	DataFolder string `koanf:"data_folder"`
	// Groups of jobs; each has a leader that runs its items. 0 is as many as a group
	// has replicas, and one where that is no more than three: a fleet that has to
	// bear more losses is a larger one.
	Groups   int `koanf:"groups" validate:"min=0,max=1024"`
	Replicas int `koanf:"replicas" validate:"min=1,max=7"` // of each group
	// ToleratedLosses are numbers of machines, zones and the like whose loss is to
	// be borne: the largest decides the replicas, two for each and one. Without
	// any, Replicas stands.
	ToleratedLosses []int         `koanf:"tolerated_losses" validate:"dive,min=0,max=3"`
	Heartbeat       time.Duration `koanf:"heartbeat" validate:"min=5ms,max=10s"`
	ElectionTimeout time.Duration `koanf:"election_timeout" validate:"min=20ms,max=1m"`
	GrantLifetime   time.Duration `koanf:"grant_lifetime" validate:"min=100ms,max=24h"`
	Retention       time.Duration `koanf:"retention" validate:"min=1m"` // of ended jobs, files and records
	// MinimumFreeBytes is the free space below which no new work is taken.
	MinimumFreeBytes int64 `koanf:"minimum_free_bytes" validate:"min=0"`
	// ReplaceAfter is how long a replica may be out of sight before another
	// store takes its place; a disk known to be gone is replaced at once.
	ReplaceAfter time.Duration `koanf:"replace_after" validate:"min=100ms,max=24h"`
	// SnapshotEntries is how many applied entries are kept in the log before
	// it is compacted.
	SnapshotEntries int `koanf:"snapshot_entries" validate:"min=100,max=10000000"`
}

// Voters is how many replicas a group has.
func (s Store) Voters() int {
	if len(s.ToleratedLosses) == 0 {
		return s.Replicas
	}
	return 2*slices.Max(s.ToleratedLosses) + 1
}

// Gathered tells whether groups have to outlive machines, but no zone and nothing larger:
// their voters then keep to few zones. Deployments that say nothing of zones spread them.
func (s Store) Gathered() bool {
	return len(s.ToleratedLosses) > 1 && slices.Max(s.ToleratedLosses[1:]) == 0
}

// fewVoters is up to which replicas one group is enough.
const fewVoters = 3

// deriveGroups is Groups where the settings leave it to the fleet's size.
func (s Store) deriveGroups() int {
	switch voters := s.Voters(); {
	case s.Groups > 0:
		return s.Groups
	case voters <= fewVoters:
		return 1
	default:
		return voters
	}
}

// Bounds of how a small processor stretches the election timeout.
const (
	unstretchedShare = 0.8 // of a core, from which ElectionTimeout holds as it is
	mostStretch      = 4.0
)

// ElectionTimeoutAt is ElectionTimeout at a share of a core (0: not known): what
// keeps a leader from its heartbeats takes longer on a smaller processor, and a
// leader that is only slow must not be replaced by one that is as slow.
func (s Store) ElectionTimeoutAt(processorShare float64) time.Duration {
	if processorShare <= 0 || processorShare >= unstretchedShare {
		return s.ElectionTimeout
	}
	return time.Duration(min(unstretchedShare/processorShare, mostStretch) * float64(s.ElectionTimeout))
}

// Log sets the log output.
type Log struct {
	Level  string `koanf:"level" validate:"oneof=debug info warn error"`
	Format string `koanf:"format" validate:"oneof=text json"`
}

// Default gives the settings that hold where the file is silent.
func Default() Settings {
	return Settings{
		Node:       Node{Region: "local", Zone: "local", StopTimeout: 10 * time.Minute},
		Membership: Membership{Interval: time.Second, SuspectTimeout: 5 * time.Second},
		KeyValueService: KeyValueService{
			Prefix: "/dykewing/", Timeout: 2 * time.Second, RequestsPerSecond: 20, Watchers: 3,
		},
		MachineList: MachineList{Interval: 2 * time.Second},
		Sidecar: Sidecar{
			DefaultDeadline: 2 * time.Minute, MaximumBodyBytes: 8 << 20, MaximumFileBytes: 1 << 30,
		},
		Router: Router{
			BatchReserve: 0.05, BatchStartPressure: 0.2, ClaimWait: 10 * time.Second,
			LoadInterval: 250 * time.Millisecond, EngineTimeout: 10 * time.Minute,
		},
		Store: Store{
			Groups: 3, Replicas: 3, Heartbeat: 50 * time.Millisecond, ElectionTimeout: 300 * time.Millisecond,
			GrantLifetime: 15 * time.Second, Retention: 30 * 24 * time.Hour,
			MinimumFreeBytes: 256 << 20, ReplaceAfter: 15 * time.Second, SnapshotEntries: 20_000,
		},
		Log: Log{Level: "info", Format: "text"},
		Frontend: Frontend{
			AddressLifetime: time.Second, ForgetFactor: 3, RetryAfter: 200 * time.Millisecond,
		},
		Tenants:  Tenants{Window: 5 * time.Second},
		Platform: Platform{Timeout: time.Second, Freshness: 3 * time.Second, ChangesWithin: 2 * time.Second},
		Batch: Batch{
			ReportInterval: 250 * time.Millisecond, Silence: 3 * time.Second, Retention: 24 * time.Hour,
		},
	}
}
