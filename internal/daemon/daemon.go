// Package daemon puts a role onto a node and runs both as one life cycle.
package daemon

import (
	"context"
	"errors"
	"fmt"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/config"
	"github.com/dykewing/dykewing/internal/node"
	"github.com/dykewing/dykewing/internal/router"
	"github.com/dykewing/dykewing/internal/sidecar"
	"github.com/dykewing/dykewing/internal/store"
)

// Daemon is one process's role, ready to run.
type Daemon struct {
	Node    *node.Node
	Sidecar *sidecar.Sidecar // only of that role
	run     func(ctx context.Context) error
}

// New binds addresses and opens disks; a fault is a clear error before
// anything is served.
func New(role api.Role, settings config.Settings, log *logrus.Logger) (*Daemon, error) {
	common, err := node.New(role, settings, log)
	if err != nil {
		return nil, err
	}
	daemon := &Daemon{Node: common}
	switch role {
	case api.RoleSidecar:
		daemon.Sidecar, err = sidecar.New(common)
		if err == nil {
			daemon.run = daemon.Sidecar.Run
		}
	case api.RoleRouter:
		var part *router.Router
		part, err = router.New(common)
		daemon.run = func(ctx context.Context) error { part.Run(ctx); return nil }
	case api.RoleStore:
		var part *store.Store
		part, err = store.New(common)
		daemon.run = func(ctx context.Context) error { return part.Run(ctx) }
	default:
		err = fmt.Errorf("role %q is not known", role)
	}
	if err != nil {
		return nil, err
	}
	return daemon, nil
}

// Run serves until ctx ends and then stops as planned; kill ends it at once. A
// sidecar's callers finish before its node stops; other roles go on until their
// node has finished its requests.
func (d *Daemon) Run(ctx, kill context.Context) error {
	roleContext, stopRole := context.WithCancel(kill)
	defer stopRole()
	nodeContext, stopNode := context.WithCancel(kill)
	defer stopNode()
	if d.Node.Role == api.RoleSidecar {
		defer context.AfterFunc(ctx, stopRole)()
	} else {
		defer context.AfterFunc(ctx, stopNode)()
	}
	defer context.AfterFunc(ctx, d.Node.BeginLeaving)()
	ended := make(chan error, 1)
	go func() {
		defer stopNode()
		ended <- d.run(roleContext)
	}()
	nodeError := d.Node.Run(nodeContext, kill)
	stopRole()
	var roleError error
	select {
	case roleError = <-ended:
	case <-kill.Done():
		return node.ErrKilled
	}
	d.Node.System.Shutdown()
	return errors.Join(roleError, nodeError)
}
