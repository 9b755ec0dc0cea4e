// Package api defines the types that dykewing's processes exchange: names, rows of the
// operators' table, outcomes, errors and the messages of the internal HTTP protocol. It
// contains no logic beyond validation and formatting.
package api

// NodeID identifies one process, including its restarts at the same address.
type NodeID string

// WorkerID identifies one back end (an engine or an application instance).
type WorkerID string

// ServiceName names what callers request: a model or an application.
type ServiceName string

// PlaceName names where a row of the table runs a service, for example a data centre.
// A place has workers in one or more zones.
type PlaceName string

// ZoneName names a failure domain with low internal latency.
type ZoneName string

// RegionName names a group of zones that may be partitioned from other regions.
type RegionName string

// TenantID identifies a customer for accounting and limits.
type TenantID string

// RequestID uniquely identifies one caller request end to end. It is sent in the header
// HeaderRequestID.
type RequestID string

// Role is the role of a process.
type Role string

// Roles of a process.
const (
	RoleSidecar Role = "sidecar"
	RoleRouter  Role = "router"
	RoleStore   Role = "store"
	// RoleFrontend accepts callers' requests and sends them directly to workers.
	RoleFrontend Role = "frontend"
)

// RepresentsZone reports whether processes of the role represent their zone to other zones.
func (r Role) RepresentsZone() bool { return r == RoleRouter || r == RoleFrontend }

// Class is the scheduling class of work: online never waits for batch.
type Class string

// Classes of work.
const (
	ClassOnline Class = "online"
	ClassBatch  Class = "batch"
)

// Location is where a process or worker runs.
type Location struct {
	Region RegionName `json:"region,omitempty"`
	Zone   ZoneName   `json:"zone"`
}

// Worker is a back end as described by the machine list and its own reports.
type Worker struct {
	ID       WorkerID    `json:"id"`
	Address  string      `json:"address"` // host:port, IP only
	Service  ServiceName `json:"service"`
	Place    PlaceName   `json:"place"`
	Location Location    `json:"location"`
	Slots    int         `json:"slots"`             // concurrent requests at full speed
	Leaving  bool        `json:"leaving,omitempty"` // accepts no new work
}

// RowKey identifies a row of the operators' table.
type RowKey struct {
	Service ServiceName `json:"service"`
	Place   PlaceName   `json:"place"`
}

// String returns the key as service/place.
func (k RowKey) String() string { return string(k.Service) + "/" + string(k.Place) }
