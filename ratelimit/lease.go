package ratelimit

import "time"

const (
	// leaseTTL is how long the tokens of a lease accumulate after it was requested. It covers
	// an outage of all owners, and is how long a new owner withholds the shares of leases that
	// may be in force.
	leaseTTL = 20 * time.Second
	// accumulatedTTL is how long accumulated tokens may be spent. It is longer than the time
	// between the requests of a tenant at most holders, since expired tokens are lost.
	accumulatedTTL = time.Minute
	// leaseMargin is how much longer an owner waits, to allow for clock drift.
	leaseMargin = 200 * time.Millisecond
	// leaseHeadroom is the share of a lease relative to the holder's demand.
	leaseHeadroom = 2.0
	// leaseSweepInterval is the time between removals of expired leases.
	leaseSweepInterval = time.Second
)

// Lease allows a holder to accumulate a share of a tenant's rate until leaseTTL after it
// requested the lease, and to spend what has accumulated until accumulatedTTL after it.
type Lease struct {
	Epoch uint64  `json:"epoch"` // of the owner
	Share float64 `json:"share"` // fraction of the tenant's rate; may be 0
	Depth float64 `json:"depth"` // largest number of tokens that accumulate, at least 1
	// Level is, in a request, the number of tokens that have accumulated.
	Level float64 `json:"level,omitempty"`
}

// leaseTable holds the leases of one tenant that may be in force.
type leaseTable struct {
	records map[string]*leaseRecord // by holder
	// Sums over the records. While a response is not known to have arrived, a record counts
	// with the larger one of the holder's old and new lease.
	share, depth float64
	// Leases of earlier epochs that no holder has reported yet; see registry.
	inheritedShare, inheritedDepth float64
	sweptAt                        time.Time
}

type leaseRecord struct {
	sequence     uint64 // of the last request
	share, depth float64
	renewedAt    time.Time
}

// newLeaseTable returns the table of an epoch, before which everything may have been leased.
func newLeaseTable(b budget) *leaseTable {
	return &leaseTable{records: map[string]*leaseRecord{}, inheritedShare: b.share, inheritedDepth: b.depth}
}

// sweep removes leases that have expired. A lease that is removed late only lowers what is
// granted to others.
func (l *leaseTable) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < leaseSweepInterval {
		return
	}
	l.sweptAt = now
	l.share, l.depth = 0, 0 // summed anew, so that rounding errors don't add up
	for holder, r := range l.records {
		if age := now.Sub(r.renewedAt); age > accumulatedTTL+leaseMargin {
			delete(l.records, holder)
			continue
		} else if age > leaseTTL+leaseMargin {
			r.share = 0
		}
		l.share, l.depth = l.share+r.share, l.depth+r.depth
	}
}

// expireInherited drops what has expired of the leases of earlier epochs.
func (l *leaseTable) expireInherited(now time.Time, r *registry) {
	if !now.Before(r.sharesUntil) {
		l.inheritedShare = 0
	}
	if !now.Before(r.depthsUntil) {
		l.inheritedDepth = 0
	}
}

// leased returns the share of all leases that may be in force.
func (l *leaseTable) leased() float64 { return min(l.share+l.inheritedShare, 1) }

// isStale reports whether a later request of the holder has been answered.
func (l *leaseTable) isStale(request TokenRequest) bool {
	r := l.records[request.Holder]
	return r != nil && request.Sequence <= r.sequence
}

// report returns the record of a holder, which is new if the lease that the holder reports is
// one of an earlier epoch. scaled is that lease under the limit in force.
func (l *leaseTable) report(now time.Time, holder string, held, scaled Lease, epoch uint64) *leaseRecord {
	if r := l.records[holder]; r != nil {
		return r
	}
	if held.Epoch < epoch {
		l.inheritedShare = max(l.inheritedShare-scaled.Share, 0)
		l.inheritedDepth = max(l.inheritedDepth-scaled.Depth, 0)
	}
	r := &leaseRecord{share: held.Share, depth: held.Depth, renewedAt: now}
	l.records[holder] = r
	l.share, l.depth = l.share+r.share, l.depth+r.depth
	return r
}

// remove removes the lease of a process that has ended.
func (l *leaseTable) remove(holder string) {
	if r := l.records[holder]; r != nil {
		l.share, l.depth = l.share-r.share, l.depth-r.depth
		delete(l.records, holder)
	}
}

// renew replaces the lease that the holder reports by one according to its demand, and returns
// it; nil if there is none. scaled is the reported lease under the limit in force.
func (l *leaseTable) renew(now time.Time, request TokenRequest, scaled Lease, epoch uint64, b budget) *Lease {
	held := Lease{}
	if request.Lease != nil {
		held = *request.Lease
	}
	r := l.report(now, request.Holder, held, scaled, epoch)
	l.share, l.depth = l.share-r.share, l.depth-r.depth
	lease := Lease{Epoch: epoch}
	if depth := min(max(request.Demand, 1), b.depth-l.depth-l.inheritedDepth); depth >= 1 {
		lease.Depth = depth
		lease.Share = max(min(leaseHeadroom*request.Demand/request.Limit.Rate, b.share-l.share-l.inheritedShare), 0)
	}
	r.sequence, r.renewedAt = request.Sequence, now
	r.share, r.depth = max(held.Share, lease.Share), max(held.Depth, lease.Depth)
	l.share, l.depth = l.share+r.share, l.depth+r.depth
	if lease.Depth == 0 {
		l.forgetIdle(request.Holder)
		return nil
	}
	return &lease
}

// forgetIdle removes the record of a holder without a lease. While leases of earlier epochs may
// be in force, it is kept, so that a late copy of a request does not report one twice.
func (l *leaseTable) forgetIdle(holder string) {
	r := l.records[holder]
	if r.share == 0 && r.depth == 0 && l.inheritedShare == 0 && l.inheritedDepth == 0 {
		l.remove(holder)
	}
}
