package storeclient

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/jobs"
)

const (
	// retryInterval is the pause before a group's leader is looked for again.
	retryInterval = 50 * time.Millisecond
	// patience bounds the search for a leader that can commit; an election takes
	// less by far, so that after it the caller is told to come back.
	patience   = 10 * time.Second
	retryAfter = 5 * time.Second
)

// Client reaches the leaders of groups. Commands are idempotent, so a command
// whose answer was lost is sent again until ctx or the client's patience ends.
type Client struct {
	HTTP  *http.Client
	Nodes func() []api.Node // the live view

	mutex sync.Mutex
	hints map[api.GroupID]api.NodeID // leaders that replicas named
	turn  int                        // which replica is asked when no leader is known
}

// Command commits a command and gives its result; a refused one is an error.
func (c *Client) Command(ctx context.Context, group api.GroupID, command jobs.Command) (jobs.Result, error) {
	var result jobs.Result
	err := c.retry(ctx, "commit command", group, func(address string) error {
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
	return c.retry(ctx, "read group", group, func(address string) error {
		return transport.Get(ctx, c.HTTP, "read group", address, path, answer)
	})
}

// retry calls the leader until it answers with something else than a change of
// leader or a broken connection. Once an attempt's outcome is unknown, no later
// refusal makes it known.
func (c *Client) retry(ctx context.Context, step string, group api.GroupID, call func(address string) error) error {
	last := api.NewError(step, "", api.CodeNoQuorum, api.OutcomeNotRun, "group %d has no known leader", group)
	unknown := false
	deadline := time.Now().Add(patience)
	for {
		if target, ok := c.target(group); ok {
			err := call(target.Address)
			if err == nil {
				return nil
			}
			last = api.AsError(step, err)
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

// givenUp tells the caller when to come back.
func givenUp(last *api.Error) *api.Error {
	failure := *last
	failure.Code = api.CodeNoQuorum
	failure.RetryAfter = max(failure.RetryAfter, retryAfter)
	return &failure
}

// target is the store to ask: the leader that a replica named, the one that says
// it leads, or else any that holds a replica, in turn.
func (c *Client) target(group api.GroupID) (api.Node, bool) {
	nodes := c.Nodes()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if hint, ok := c.hints[group]; ok {
		for _, node := range nodes {
			if node.ID == hint {
				return node, true
			}
		}
	}
	if leader, ok := Leader(nodes, group); ok {
		return leader, true
	}
	holders := holdersOf(nodes, group)
	if len(holders) == 0 {
		return api.Node{}, false
	}
	c.turn++
	return holders[c.turn%len(holders)], true
}

func holdersOf(nodes []api.Node, group api.GroupID) []api.Node {
	var holders []api.Node
	for _, node := range nodes {
		for _, summary := range node.Summary.Groups {
			if summary.Group == group {
				holders = append(holders, node)
			}
		}
	}
	return holders
}

// learn takes the leader that a refusal names, and tells whether it is worth
// asking at once.
func (c *Client) learn(group api.GroupID, asked api.NodeID, refusal *api.Error) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if refusal.Leader == "" || refusal.Leader == asked {
		delete(c.hints, group)
		return false
	}
	if c.hints == nil {
		c.hints = map[api.GroupID]api.NodeID{}
	}
	known := c.hints[group] == refusal.Leader
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
