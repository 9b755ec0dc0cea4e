package catalog

import (
	"context"
	"net/http"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/pause"
	"github.com/dykewing/dykewing/internal/transport"
)

// PathConfiguration is where a process gives others the document of the
// configuration in force.
const PathConfiguration = "/internal/configuration"

// askInterval is the pause between questions of a process that has no
// configuration.
const askInterval = 300 * time.Millisecond

// Peers are the other processes.
type Peers interface {
	ID() api.NodeID
	Nodes() []api.Node
}

// document is the body of PathConfiguration.
type document struct {
	Raw []byte `json:"raw"`
}

// ServeConfiguration answers PathConfiguration.
func (c *Catalog) ServeConfiguration(w http.ResponseWriter, _ *http.Request) {
	raw := c.Raw()
	if raw == nil {
		transport.WriteError(w, api.NewError("read configuration", "", api.CodeNoTable, api.OutcomeNotRun, "none is known yet"))
		return
	}
	transport.WriteJSON(w, http.StatusOK, document{Raw: raw})
}

// AskPeers asks other processes for their configuration until one is in force:
// a process that starts while the service is away serves all the same.
func (c *Catalog) AskPeers(ctx context.Context, peers Peers) {
	client := transport.NewClient(1)
	defer client.CloseIdleConnections()
	for turn := 0; ctx.Err() == nil && c.Configuration() == nil; turn++ {
		pause.For(ctx, askInterval)
		var others []api.Node
		for _, node := range peers.Nodes() {
			if node.ID != peers.ID() && node.Role == api.RoleFrontend {
				others = append(others, node)
			}
		}
		if len(others) == 0 || c.Configuration() != nil {
			continue
		}
		c.ask(ctx, client, others[turn%len(others)].Address)
	}
}

func (c *Catalog) ask(ctx context.Context, client *http.Client, address string) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var answer document
	if err := transport.Get(ctx, client, "ask for configuration", address, PathConfiguration, &answer); err != nil {
		return
	}
	_ = c.Adopt(answer.Raw, address)
}
