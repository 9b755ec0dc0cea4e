package storeclient

import (
	"context"
	"net/http"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/jobs"
)

// retryInterval is the pause before a group's leader is looked for again.
const retryInterval = 50 * time.Millisecond

// Client reaches the leaders of groups. Commands are idempotent, so a command
// whose answer was lost is sent again until ctx ends.
type Client struct {
	HTTP  *http.Client
	Nodes func() []api.Node // the live view
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
// leader or a broken connection.
func (c *Client) retry(ctx context.Context, step string, group api.GroupID, call func(address string) error) error {
	last := api.NewError(step, "", api.CodeNoQuorum, api.OutcomeNotRun, "group %d has no known leader", group)
	for {
		if leader, ok := Leader(c.Nodes(), group); ok {
			err := call(leader.Address)
			if err == nil {
				return nil
			}
			last = api.AsError(step, err)
			if !passing(last.Code) {
				return last
			}
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return last
		}
	}
}

// passing tells whether a failure may go away when the leader is found again.
func passing(code api.ErrorCode) bool {
	switch code {
	case api.CodeNotLeader, api.CodeNoQuorum, api.CodeUpstream, api.CodeLeaving:
		return true
	}
	return false
}
