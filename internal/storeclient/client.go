package storeclient

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/jobs"
)

const (
	// retryInterval is the pause between attempts to find a group's leader.
	retryInterval = 20 * time.Millisecond
	// leaderSearchTimeout bounds the search for a leader that can commit; an election takes
	// much less. Afterwards the caller is told to retry after retryAfter.
	leaderSearchTimeout = 10 * time.Second
	retryAfter          = 5 * time.Second
)

// Client sends requests to the leaders of groups. Commands are idempotent, so one whose
// answer was lost is retried until ctx ends or the search for a leader times out. It is safe
// for concurrent use; its exported fields must not change after the first call.
type Client struct {
	HTTP *http.Client
	// AttemptTimeout is how long a store may take to answer before another is tried. It
	// doubles after each timeout. 0: defaultAttemptTimeout.
	AttemptTimeout time.Duration
	Nodes          func() []api.Node // the current membership view

	mutex     sync.Mutex
	hints     map[api.GroupID]api.NodeID // leaders that replicas named
	nextStore int                        // round robin counter, used if no leader is known
	refused   map[refusalKey]time.Time   // when a store last said that it doesn't lead
}

// refusalKey identifies a store and a group that it doesn't lead.
type refusalKey struct {
	group api.GroupID
	node  api.NodeID
}

// refusalTTL is how long a store that refused is skipped, since the membership view may name
// the previous leader for seconds.
const refusalTTL = 300 * time.Millisecond

// Command commits a command and returns its result. A result with an error code is returned
// as an error too.
func (c *Client) Command(ctx context.Context, group api.GroupID, command jobs.Command) (jobs.Result, error) {
	var result jobs.Result
	err := c.retry(ctx, "commit command", group, func(ctx context.Context, address string) error {
		result = jobs.Result{}
		return transport.Call(ctx, c.HTTP, "commit command", address, CommandsPath(group), command, &result)
	})
	if err != nil {
		return result, err
	}
	if result.Code != "" {
		return result, api.NewError("commit command", "", result.Code, api.OutcomeNotRun, "%s", result.Message)
	}
	return result, nil
}

// Read gets a path from the group's leader and decodes its JSON into answer.
func (c *Client) Read(ctx context.Context, group api.GroupID, path string, answer any) error {
	return c.retry(ctx, "read group", group, func(ctx context.Context, address string) error {
		return transport.Get(ctx, c.HTTP, "read group", address, path, answer)
	})
}

// retry calls the leader until it answers with anything but a transient error. Once the
// outcome of an attempt is unknown, the final error's outcome is unknown too.
func (c *Client) retry(ctx context.Context, step string, group api.GroupID, call func(ctx context.Context, address string) error) error {
	last := api.NewError(step, "", api.CodeNoQuorum, api.OutcomeNotRun, "group %d has no known leader", group)
	unknown := false
	deadline := time.Now().Add(leaderSearchTimeout)
	limit := c.attemptTimeout()
	for {
		if target, ok := c.target(group); ok {
			attempt, cancel := context.WithTimeout(ctx, limit)
			err := call(attempt, target.Address)
			timedOut := attempt.Err() != nil && ctx.Err() == nil
			cancel()
			if err == nil {
				return nil
			}
			last = api.AsError(step, err)
			if timedOut {
				last.Code = api.CodeUpstream
				limit *= 2
			}
			unknown = unknown || last.Outcome == api.OutcomeUnknown
			if unknown {
				last.Outcome = api.OutcomeUnknown
			}
			if !isTransient(last.Code) || ctx.Err() != nil {
				return last
			}
			if c.recordRefusal(group, target.ID, last) {
				continue
			}
		}
		if time.Now().After(deadline) {
			return noQuorumError(last)
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return last
		}
	}
}

// defaultAttemptTimeout allows for calls that wait for a slow disk.
const defaultAttemptTimeout = 5 * time.Second

func (c *Client) attemptTimeout() time.Duration {
	if c.AttemptTimeout > 0 {
		return c.AttemptTimeout
	}
	return defaultAttemptTimeout
}

// noQuorumError returns the last error with api.CodeNoQuorum and a retry delay.
func noQuorumError(last *api.Error) *api.Error {
	failure := *last
	failure.Code = api.CodeNoQuorum
	failure.RetryAfter = max(failure.RetryAfter, retryAfter)
	return &failure
}

// target returns the store to ask: the leader that a replica named, the one in the membership
// view, or else any store, round robin. Stores that refused recently are skipped.
func (c *Client) target(group api.GroupID) (api.Node, bool) {
	nodes := c.Nodes()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	usable := func(node api.Node) bool {
		return now.Sub(c.refused[refusalKey{group, node.ID}]) > refusalTTL
	}
	if hint, ok := c.hints[group]; ok {
		for _, node := range nodes {
			if node.ID == hint && usable(node) {
				return node, true
			}
		}
	}
	if leader, ok := Leader(nodes, group); ok && usable(leader) {
		return leader, true
	}
	stores := slices.DeleteFunc(slices.Clone(nodes), func(node api.Node) bool {
		return node.Role != api.RoleStore || !usable(node)
	})
	if len(stores) == 0 {
		return api.Node{}, false
	}
	c.nextStore++
	return stores[c.nextStore%len(stores)], true
}

// recordRefusal records a refusal and the leader that it names. It reports whether that leader
// is new, and so worth asking at once.
func (c *Client) recordRefusal(group api.GroupID, refuser api.NodeID, refusal *api.Error) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.hints == nil {
		c.hints, c.refused = map[api.GroupID]api.NodeID{}, map[refusalKey]time.Time{}
	}
	c.refused[refusalKey{group, refuser}] = time.Now()
	if refusal.Leader == "" || refusal.Leader == refuser {
		delete(c.hints, group)
		return false
	}
	known := c.hints[group] == refusal.Leader
	if !known {
		delete(c.refused, refusalKey{group, refusal.Leader})
	}
	c.hints[group] = refusal.Leader
	return !known
}

// isTransient reports whether an error may go away with another leader.
func isTransient(code api.ErrorCode) bool {
	switch code {
	case api.CodeNotLeader, api.CodeNoQuorum, api.CodeUpstream, api.CodeLeaving:
		return true
	}
	return false
}
