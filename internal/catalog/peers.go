package catalog

import (
	"context"
	"net/http"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/sleep"
	"github.com/dykewing/dykewing/internal/transport"
)

// PathConfiguration is the HTTP path under which a process serves its current configuration.
const PathConfiguration = "/internal/configuration"

// peerRetryInterval is the pause between requests of a process without a configuration.
const peerRetryInterval = 300 * time.Millisecond

// Peers provides the id of this process and the known processes, which may include it.
type Peers interface {
	ID() api.NodeID
	Nodes() []api.Node
}

// document is the JSON body of PathConfiguration.
type document struct {
	Raw []byte `json:"raw"`
}

// ServeConfiguration handles PathConfiguration.
func (c *Catalog) ServeConfiguration(w http.ResponseWriter, _ *http.Request) {
	raw := c.Raw()
	if raw == nil {
		transport.WriteError(w, api.NewError("read configuration", "", api.CodeNoTable, api.OutcomeNotRun, "no configuration yet"))
		return
	}
	transport.WriteJSON(w, http.StatusOK, document{Raw: raw})
}

// BootstrapFromPeers requests the configuration of other processes until one is in force or ctx ends, so
// that a process can start while the service is unavailable.
func (c *Catalog) BootstrapFromPeers(ctx context.Context, peers Peers) {
	client := transport.NewClient(1)
	defer client.CloseIdleConnections()
	for attempt := 0; ctx.Err() == nil && c.Configuration() == nil; attempt++ {
		sleep.For(ctx, peerRetryInterval)
		var others []api.Node
		for _, node := range peers.Nodes() {
			if node.ID != peers.ID() && node.Role == api.RoleFrontend {
				others = append(others, node)
			}
		}
		if len(others) == 0 || c.Configuration() != nil {
			continue
		}
		c.fetchFromPeer(ctx, client, others[attempt%len(others)].Address)
	}
}

func (c *Catalog) fetchFromPeer(ctx context.Context, client *http.Client, address string) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var response document
	if err := transport.Get(ctx, client, "ask for configuration", address, PathConfiguration, &response); err != nil {
		return
	}
	_ = c.Adopt(response.Raw, address)
}
