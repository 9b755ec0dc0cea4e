// Package api holds the typed values that dykewing's parts exchange: names,
// rows of the operators' table, outcomes, errors and the messages of the
// internal HTTP protocol. It has no behaviour beyond checking and formatting.
package api

// NodeID names one process for its lifetime and its restarts at one address.
type NodeID string

// WorkerID names one back end (an engine or an application instance).
type WorkerID string

// ServiceName names what callers ask for: a model or an application.
type ServiceName string

// PlaceName names where a row of the table runs a service, for example a data
// centre. A place holds workers of one or more zones.
type PlaceName string

// ZoneName names a failure domain with low latency inside.
type ZoneName string

// RegionName names a group of zones that can lose the other regions.
type RegionName string

// TenantID names a customer whose work is accounted for together.
type TenantID string

// RequestID names one caller request end to end; it is unique and travels in
// the header HeaderRequestID.
type RequestID string

// Role is the part that a process plays.
type Role string

// The roles of a process.
const (
	RoleSidecar Role = "sidecar"
	RoleRouter  Role = "router"
	RoleStore   Role = "store"
	// RoleFrontend takes callers' requests and sends them straight to workers.
	RoleFrontend Role = "frontend"
)

// Represents tells whether processes of the role speak for their zone to others.
func (r Role) Represents() bool { return r == RoleRouter || r == RoleFrontend }

// Class orders work: online is never made to wait for batch.
type Class string

// The classes of work.
const (
	ClassOnline Class = "online"
	ClassBatch  Class = "batch"
)

// Location is where a process or a worker runs.
type Location struct {
	Region RegionName `json:"region,omitempty"`
	Zone   ZoneName   `json:"zone"`
}

// Worker is a back end as the machine list and its own reports describe it.
type Worker struct {
	ID       WorkerID    `json:"id"`
	Address  string      `json:"address"` // host:port, IP only
	Service  ServiceName `json:"service"`
	Place    PlaceName   `json:"place"`
	Location Location    `json:"location"`
	Slots    int         `json:"slots"`             // requests it runs at once at full speed
	Leaving  bool        `json:"leaving,omitempty"` // takes no new work
}

// RowKey names a row of the operators' table.
type RowKey struct {
	Service ServiceName `json:"service"`
	Place   PlaceName   `json:"place"`
}

// String gives the key as service/place.
func (k RowKey) String() string { return string(k.Service) + "/" + string(k.Place) }
