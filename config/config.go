// Package config loads and validates the settings file of a process.
//
// The file is strict YAML: unknown keys, invalid addresses and values out of range are
// reported with key and line.
package config

import (
	"slices"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/ratelimit"
)

// Settings holds the settings of a process. Each role uses only its own sections.
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

// Node identifies the process and sets its resource limits.
type Node struct {
	ID      string `koanf:"id" validate:"required,max=128"`
	Address string `koanf:"address" validate:"required,hostport_ip"` // serves the internal protocol, metrics and health
	Region  string `koanf:"region" validate:"required,max=128"`
	Zone    string `koanf:"zone" validate:"required,max=128"`
	// StopTimeout bounds how long a graceful shutdown waits for streams.
	StopTimeout time.Duration `koanf:"stop_timeout" validate:"min=1s,max=24h"`
	// StopMargin is the part of StopTimeout reserved for the shutdown after the
	// streams, for platforms that kill the process at StopTimeout.
	StopMargin time.Duration `koanf:"stop_margin" validate:"min=0,max=1m,ltfield=StopTimeout"`
	// MemoryMB is the process's memory limit in MiB; 0 means none. The heap and the
	// stores' in-memory log are limited to fractions of it.
	MemoryMB int `koanf:"memory_mb" validate:"min=0,max=1048576"`
	// ProcessorShare is the process's CPU limit in cores; 0 means unknown.
	ProcessorShare float64 `koanf:"processor_share" validate:"min=0,max=1024"`
}

// heapFraction is the fraction of a process's memory limit for the heap. The rest is for
// the program, stacks and mapped files.
const heapFraction = 0.45

// MaxHeapBytes returns the limit of the heap in bytes; 0 means none.
func (n Node) MaxHeapBytes() int64 { return int64(heapFraction * float64(n.MemoryMB) * (1 << 20)) }

// ShutdownTimeout returns how long a graceful shutdown may take: StopTimeout less StopMargin.
func (n Node) ShutdownTimeout() time.Duration { return n.StopTimeout - n.StopMargin }

// Location returns the node's region and zone.
func (n Node) Location() api.Location {
	return api.Location{Region: api.RegionName(n.Region), Zone: api.ZoneName(n.Zone)}
}

// Membership configures heartbeats and failure detection.
type Membership struct {
	Interval       time.Duration `koanf:"interval" validate:"min=10ms,max=1m"`
	SuspectTimeout time.Duration `koanf:"suspect_timeout" validate:"min=50ms,max=10m"`
}

// KeyValueService configures access to the service that stores the operators' table.
type KeyValueService struct {
	Endpoints         []string      `koanf:"endpoints" validate:"dive,url"`
	Prefix            string        `koanf:"prefix" validate:"required,startswith=/"`
	Timeout           time.Duration `koanf:"timeout" validate:"min=10ms,max=1m"`
	RequestsPerSecond float64       `koanf:"requests_per_second" validate:"gt=0,max=100000"`
	// Watchers is the number of routers in the fleet that watch the service.
	Watchers int `koanf:"watchers" validate:"min=1,max=100"`
}

// MachineList configures the platform's list of workers, in the format of Prometheus HTTP
// service discovery.
type MachineList struct {
	URL      string        `koanf:"url" validate:"omitempty,url"`
	Interval time.Duration `koanf:"interval" validate:"min=10ms,max=10m"`
}

// Sidecar configures the role that runs beside callers.
type Sidecar struct {
	Address          string        `koanf:"address" validate:"omitempty,hostport_ip"` // serves callers
	DefaultDeadline  time.Duration `koanf:"default_deadline" validate:"min=100ms,max=24h"`
	MaximumBodyBytes int64         `koanf:"maximum_body_bytes" validate:"min=1024,max=1073741824"`
	MaximumFileBytes int64         `koanf:"maximum_file_bytes" validate:"min=1024,max=17179869184"`
}

// Router configures the role that is home of workers.
type Router struct {
	BatchReserve float64 `koanf:"batch_reserve" validate:"min=0,max=1"` // fraction of slots that batch leaves free
	// BatchStartPressure is the maximum number of online requests waiting for their
	// first token, per worker of a row, at which batch is still sent.
	BatchStartPressure float64       `koanf:"batch_start_pressure" validate:"min=0,max=1000"`
	ClaimWait          time.Duration `koanf:"claim_wait" validate:"min=10ms,max=1m"`
	LoadInterval       time.Duration `koanf:"load_interval" validate:"min=10ms,max=1m"`
	EngineTimeout      time.Duration `koanf:"engine_timeout" validate:"min=100ms,max=24h"`
}

// Frontend configures the role that accepts callers' requests and sends them directly to
// workers.
type Frontend struct {
	Address         string `koanf:"address" validate:"omitempty,hostport_ip"`          // serves callers
	ReadyAddress    string `koanf:"ready_address" validate:"omitempty,hostport_ip"`    // serves readiness checks
	RegistryAddress string `koanf:"registry_address" validate:"omitempty,hostport_ip"` // serves the registry of frontend addresses
	// AddressLifetime is the TTL of the registry's responses; some callers keep them
	// ForgetFactor times as long.
	AddressLifetime time.Duration `koanf:"address_lifetime" validate:"min=100ms,max=1h"`
	ForgetFactor    float64       `koanf:"forget_factor" validate:"min=1,max=100"`
	// RetryAfter is the retry delay advised in rejections.
	RetryAfter time.Duration `koanf:"retry_after" validate:"min=1ms,max=1m"`
}

// Tenants configures the tolerance of tenants' request limits.
type Tenants struct {
	// Window is the interval over which requests are counted. Overshoot, as a fraction
	// of the limit, and Allowance, in requests, bound the excess per window, which
	// results from the delay of coordination between processes.
	Window    time.Duration `koanf:"window" validate:"min=100ms,max=1h"`
	Overshoot float64       `koanf:"overshoot" validate:"min=0,max=10"`
	Allowance float64       `koanf:"allowance" validate:"min=0,max=1000000"`
}

// Tolerance converts the settings for package ratelimit.
func (t Tenants) Tolerance() ratelimit.Tolerance {
	return ratelimit.Tolerance{Window: t.Window, Overshoot: t.Overshoot, Allowance: t.Allowance}
}

// Platform configures access to the platform's store of persistent keys.
type Platform struct {
	StoreAddress string        `koanf:"store_address" validate:"omitempty,hostport_ip"`
	Timeout      time.Duration `koanf:"timeout" validate:"min=10ms,max=1m"`
	// Freshness bounds how long a watch may wait without a response, and with it how
	// long a change may stay unnoticed that the store failed to report.
	Freshness time.Duration `koanf:"freshness" validate:"min=100ms,max=30s"`
	// ChangesWithin is the maximum time until every reachable process knows a change of
	// the store's keys.
	ChangesWithin time.Duration `koanf:"changes_within" validate:"min=500ms,max=1m"`
	// ReadsPerSecond and WritesPerSecond limit the load of all processes together on
	// the store; each process uses its share. 0 means no limit.
	ReadsPerSecond  float64 `koanf:"reads_per_second" validate:"min=0,max=1000000"`
	WritesPerSecond float64 `koanf:"writes_per_second" validate:"min=0,max=1000000"`
}

// longPollFraction is the fraction of Freshness that a process's own watch waits for
// changes.
const longPollFraction = 0.75

// LongPollTimeout returns the long-poll timeout of a watch that serves only this process.
func (p Platform) LongPollTimeout() time.Duration {
	return time.Duration(longPollFraction * float64(p.Freshness))
}

// Batch configures how a leading store runs batch items.
type Batch struct {
	// ReportInterval is the interval at which workers are polled for their load while
	// items run.
	ReportInterval time.Duration `koanf:"report_interval" validate:"min=10ms,max=1m"`
	// Silence is how long a worker may send no event before its item is moved to another.
	Silence time.Duration `koanf:"silence" validate:"min=100ms,max=10m"`
	// Retention is the default retention of jobs.
	Retention time.Duration `koanf:"retention" validate:"min=1s"`
}

// Store configures the role that stores jobs and files on disk.
type Store struct {
	DataFolder string `koanf:"data_folder"`
	// Groups is the number of replicated groups of jobs; the leader of each runs its
	// items. 0 selects one group for up to three replicas, else as many groups as a
	// group has replicas.
	Groups   int `koanf:"groups" validate:"min=0,max=1024"`
	Replicas int `koanf:"replicas" validate:"min=1,max=7"` // per group
	// ToleratedLosses lists how many simultaneous losses of machines, zones and larger
	// failure domains are tolerated. A group has 2n+1 replicas for the largest n;
	// without any entry it has Replicas.
	ToleratedLosses []int         `koanf:"tolerated_losses" validate:"dive,min=0,max=3"`
	Heartbeat       time.Duration `koanf:"heartbeat" validate:"min=5ms,max=10s"`
	ElectionTimeout time.Duration `koanf:"election_timeout" validate:"min=20ms,max=1m"`
	GrantLifetime   time.Duration `koanf:"grant_lifetime" validate:"min=100ms,max=24h"`
	Retention       time.Duration `koanf:"retention" validate:"min=1m"` // of finished jobs, files and records
	// MinimumFreeBytes is the free disk space below which no new work is accepted.
	MinimumFreeBytes int64 `koanf:"minimum_free_bytes" validate:"min=0"`
	// ReplaceAfter is how long a replica may be unreachable before another store
	// replaces it. A disk known to be lost is replaced at once.
	ReplaceAfter time.Duration `koanf:"replace_after" validate:"min=100ms,max=24h"`
	// SnapshotEntries is the number of applied entries after which the log is
	// compacted.
	SnapshotEntries int `koanf:"snapshot_entries" validate:"min=100,max=10000000"`
}

// Voters returns the number of replicas of each group.
func (s Store) Voters() int {
	if len(s.ToleratedLosses) == 0 {
		return s.Replicas
	}
	return 2*slices.Max(s.ToleratedLosses) + 1
}

// ConcentrateVoters reports whether groups need not survive the loss of a zone or anything larger,
// so that their voters are placed in few zones. Without ToleratedLosses for zones, voters
// are spread.
func (s Store) ConcentrateVoters() bool {
	return len(s.ToleratedLosses) > 1 && slices.Max(s.ToleratedLosses[1:]) == 0
}

// singleGroupMaxVoters is the largest number of replicas for which Groups defaults to 1.
const singleGroupMaxVoters = 3

// deriveGroups returns Groups, or its default if it is 0.
func (s Store) deriveGroups() int {
	switch voters := s.Voters(); {
	case s.Groups > 0:
		return s.Groups
	case voters <= singleGroupMaxVoters:
		return 1
	default:
		return voters
	}
}

// Bounds of the scaling of the election timeout on small processors.
const (
	minUnscaledShare = 0.8 // in cores; ElectionTimeout is not scaled at this share or more
	maxElectionScale = 4.0
)

// ElectionTimeoutAt returns ElectionTimeout scaled for a processor share in cores (0:
// unknown). On a smaller processor a leader's heartbeats are delayed longer, and
// replacing a slow leader by an equally slow one gains nothing.
func (s Store) ElectionTimeoutAt(processorShare float64) time.Duration {
	if processorShare <= 0 || processorShare >= minUnscaledShare {
		return s.ElectionTimeout
	}
	return time.Duration(min(minUnscaledShare/processorShare, maxElectionScale) * float64(s.ElectionTimeout))
}

// Log configures the log output.
type Log struct {
	Level  string `koanf:"level" validate:"oneof=debug info warn error"`
	Format string `koanf:"format" validate:"oneof=text json"`
}

// Default returns the default settings.
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
