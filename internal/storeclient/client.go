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
	// retryInterval is the pause before a group's leader is looked for again.
	retryInterval = 20 * time.Millisecond
	// patience bounds the search for a leader that can commit; an election takes
	// less by far, so that after it the caller is told to come back.
	patience   = 10 * time.Second
	retryAfter = 5 * time.Second
)

// Client reaches the leaders of groups. Commands are idempotent, so a command
// whose answer was lost is sent again until ctx or the client's patience ends.
type Client struct {
	HTTP *http.Client
	// AttemptTimeout is how long a store may take to answer before another is
	// asked; it doubles with each silent one. 0: defaultAttemptTimeout.
	AttemptTimeout time.Duration
	Nodes          func() []api.Node // the live view

	mutex   sync.Mutex
	hints   map[api.GroupID]api.NodeID // leaders that replicas named
	turn    int                        // which store is asked when no leader is known
	refused map[refusalKey]time.Time   // when a store last said that it does not lead
}

// refusalKey names a store and a group that it did not lead.
type refusalKey struct {
	group api.GroupID
	node  api.NodeID
}

// refusalLife is how long a store that does not lead is passed over: a view of
// nodes goes on naming the last leader for seconds.
const refusalLife = 300 * time.Millisecond

// Command commits a command and gives its result; a refused one is an error.
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

// Read gets one of the group's paths from its leader.
func (c *Client) Read(ctx context.Context, group api.GroupID, path string, answer any) error {
	return c.retry(ctx, "read group", group, func(ctx context.Context, address string) error {
		return transport.Get(ctx, c.HTTP, "read group", address, path, answer)
	})
}

// retry calls the leader until it answers with something else than a change of
// leader or a broken connection. Once an attempt's outcome is unknown, no later
// refusal makes it known.
func (c *Client) retry(ctx context.Context, step string, group api.GroupID, call func(ctx context.Context, address string) error) error {
	last := api.NewError(step, "", api.CodeNoQuorum, api.OutcomeNotRun, "group %d has no known leader", group)
	unknown := false
	deadline := time.Now().Add(patience)
	limit := c.attemptTimeout()
	for {
		if target, ok := c.target(group); ok {
			attempt, cancel := context.WithTimeout(ctx, limit)
			err := call(attempt, target.Address)
			silent := attempt.Err() != nil && ctx.Err() == nil
			cancel()
			if err == nil {
				return nil
			}
			last = api.AsError(step, err)
			if silent {
				last.Code = api.CodeUpstream
				limit *= 2
			}
			unknown = unknown || last.Outcome == api.OutcomeUnknown
			if unknown {
				last.Outcome = api.OutcomeUnknown
			}
			if !passing(last.Code) || ctx.Err() != nil {
				return last
			}
			if c.learn(group, target.ID, last) {
				continue
			}
		}
		if time.Now().After(deadline) {
			return givenUp(last)
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return last
		}
	}
}

// defaultAttemptTimeout suits calls that may wait for a slow disk.
const defaultAttemptTimeout = 5 * time.Second

func (c *Client) attemptTimeout() time.Duration {
	if c.AttemptTimeout > 0 {
		return c.AttemptTimeout
	}
	return defaultAttemptTimeout
}

// givenUp tells the caller when to come back.
func givenUp(last *api.Error) *api.Error {
	failure := *last
	failure.Code = api.CodeNoQuorum
	failure.RetryAfter = max(failure.RetryAfter, retryAfter)
	return &failure
}

// target is the store to ask: the leader that a replica named, the one that says
// it leads, or else any store, in turn. One that just refused is passed over.
func (c *Client) target(group api.GroupID) (api.Node, bool) {
	nodes := c.Nodes()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	usable := func(node api.Node) bool {
		return now.Sub(c.refused[refusalKey{group, node.ID}]) > refusalLife
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
	c.turn++
	return stores[c.turn%len(stores)], true
}

// learn takes the leader that a refusal names, and tells whether it is worth
// asking at once.
func (c *Client) learn(group api.GroupID, asked api.NodeID, refusal *api.Error) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.hints == nil {
		c.hints, c.refused = map[api.GroupID]api.NodeID{}, map[refusalKey]time.Time{}
	}
	c.refused[refusalKey{group, asked}] = time.Now()
	if refusal.Leader == "" || refusal.Leader == asked {
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

// passing tells whether a failure may go away when the leader is found again.
func passing(code api.ErrorCode) bool {
	switch code {
	case api.CodeNotLeader, api.CodeNoQuorum, api.CodeUpstream, api.CodeLeaving:
		return true
	}
	return false
}
