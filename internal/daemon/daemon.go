// Package daemon combines a node and a role into one process and runs both.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/config"
	"github.com/dykewing/dykewing/feed"
	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/internal/batchrun"
	"github.com/dykewing/dykewing/internal/catalog"
	"github.com/dykewing/dykewing/internal/frontend"
	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/internal/limiter"
	"github.com/dykewing/dykewing/internal/node"
	"github.com/dykewing/dykewing/internal/relay"
	"github.com/dykewing/dykewing/internal/resume"
	"github.com/dykewing/dykewing/internal/router"
	"github.com/dykewing/dykewing/internal/sidecar"
	"github.com/dykewing/dykewing/internal/startup"
	"github.com/dykewing/dykewing/internal/store"
	"github.com/dykewing/dykewing/internal/storeclient"
)

// Daemon is a node with its role, ready to run.
type Daemon struct {
	Node    *node.Node
	Sidecar *sidecar.Sidecar // nil for other roles
	run     func(ctx context.Context) error
}

// Platform holds a process's access to the platform it runs on: its key-value store, its
// HTTP protocol, and the source of configuration and workers.
type Platform struct {
	KeyValue relay.Service
	Protocol backend.Protocol
	Source   catalog.Source
	// Limiter limits KeyValue to this process's share of the store's rate limits. May be nil.
	Limiter *kv.Limiter
	// ObserveCalls registers a function that is called after each call of KeyValue. It is
	// called before the first use of KeyValue. May be nil.
	ObserveCalls func(call func(path string, err error))
	// Decommissions holds operators' requests to drain machines. May be nil.
	Decommissions *store.Decommissions
}

// New opens listeners and data folders, so that their errors are returned before anything
// is served. platform may be nil, except for a frontend.
func New(role api.Role, settings config.Settings, log *logrus.Logger, platform *Platform) (*Daemon, error) {
	common, err := newNode(role, settings, log, platform)
	if err != nil {
		return nil, err
	}
	daemon := &Daemon{Node: common}
	switch role {
	case api.RoleFrontend:
		if platform == nil {
			return nil, errors.New("settings: a frontend needs platform.store_address")
		}
		var part *frontend.Frontend
		part, err = frontend.New(common, platform.Protocol, platform.Source)
		daemon.run = func(ctx context.Context) error { return part.Run(ctx) }
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
		daemon.run, err = newStore(common, platform)
	default:
		err = fmt.Errorf("unknown role %q", role)
	}
	if err != nil {
		return nil, err
	}
	return daemon, nil
}

// newNode creates the node. On a platform, processes relay changes of the key-value
// service to each other.
func newNode(role api.Role, settings config.Settings, log *logrus.Logger, platform *Platform) (*node.Node, error) {
	if platform == nil {
		return node.New(role, settings, log)
	}
	var common *node.Node
	members := func() []feed.Member { return feedMembers(common.Nodes(), settings.Node.Location()) }
	within := feed.NewSettings(api.NodeID(settings.Node.ID), settings.Platform.ChangesWithin, settings.Platform.LongPollTimeout())
	changes := relay.New(platform.KeyValue, within, members, log.WithField("part", "feed").WithField("node", settings.Node.ID))
	common, err := node.New(role, settings, log, node.WithKeyValue(changes))
	if err != nil {
		return nil, err
	}
	changes.ZoneKnown, changes.RevisionKey = common.Settled, platform.Source.ConfigurationPrefix
	changes.RemoteMembers = func() [][]feed.Member { return remoteStores(common.Nodes(), settings.Node.Location()) }
	if platform.Limiter != nil {
		platform.Limiter.SetProcesses(func() int { return len(common.Nodes()) })
		platform.Limiter.SetReaders(changes.Readers)
	}
	if platform.ObserveCalls != nil {
		platform.ObserveCalls(common.ObserveCall)
	}
	common.Registry.MustRegister(changes.Metrics())
	common.Mux.HandleFunc("GET "+relay.PathChanges, changes.ServeChanges)
	common.OnLeave(changes.Withdraw)
	return common, nil
}

// feedMembers returns the processes of a zone that serve changes. Stores are preferred as
// watchers, since they have the bandwidth to send a configuration to a whole zone.
func feedMembers(nodes []api.Node, location api.Location) []feed.Member {
	var members []feed.Member
	for _, each := range nodes {
		if each.Location == location && !each.Leaving && !each.Suspected {
			members = append(members, feed.Member{ID: each.ID, Address: each.Address, Preferred: each.Role == api.RoleStore})
		}
	}
	return members
}

// remoteStores returns the stores of other zones, grouped by zone. They are the preferred
// watchers of their zones.
func remoteStores(nodes []api.Node, location api.Location) [][]feed.Member {
	index := map[api.Location]int{}
	var zones [][]feed.Member
	for _, each := range nodes {
		if each.Location == location || each.Role != api.RoleStore || each.Leaving || each.Suspected {
			continue
		}
		i, known := index[each.Location]
		if !known {
			i = len(zones)
			index[each.Location], zones = i, append(zones, nil)
		}
		zones[i] = append(zones[i], feed.Member{ID: each.ID, Address: each.Address, Preferred: true})
	}
	return zones
}

// newStore adds the store role and returns its run function. On a platform, group leaders
// run inline jobs.
func newStore(common *node.Node, platform *Platform) (func(ctx context.Context) error, error) {
	if platform == nil {
		part, err := store.New(common)
		if err != nil {
			return nil, err
		}
		return part.Run, nil
	}
	runner := batchrun.New(common, platform.Protocol, platform.Source)
	prefix := common.Settings.KeyValueService.Prefix
	records := &store.GroupRecords{Prefix: prefix}
	runner.Catalog().AddView(prefix+storeclient.PrefixGroups, records)
	leaders := &storeclient.Leaders{Prefix: prefix}
	runner.Catalog().AddView(prefix+storeclient.PrefixGroups, leaders)
	options := []store.Option{store.WithInlineRunner(runner.StartLeader), store.WithRegistrations(runner.RegisteredStores()), store.WithGroupRecords(records)}
	if platform.Decommissions != nil {
		runner.Catalog().AddView(platform.Decommissions.Prefix, platform.Decommissions)
		options = append(options, store.WithDecommissions(platform.Decommissions))
	}
	part, err := store.New(common, options...)
	if err != nil {
		return nil, err
	}
	limits := limiter.NewOwner(limiter.OwnerSettings{
		Self: common.ID(), Tolerance: common.Settings.Tenants.Tolerance(), Groups: common.Settings.Store.Groups, Log: common.Logger("limits"),
		Lease: func(ctx context.Context, group api.GroupID) (limiter.Lease, *api.Error) {
			lease, failure := part.LeaderLease(ctx, group)
			return limiter.Lease(lease), failure
		},
		Holders: part.LimitHolders, Register: part.RegisterLimitHolder, Leads: part.LeadingTerm,
		Leader: func(group api.GroupID) (api.Node, bool) { return leaders.Leader(common.Nodes(), group) },
		Nodes:  common.Nodes, Stores: func() []api.Node { return storesOf(runner.RegisteredStores().Extend(common.Nodes())) },
		Client: common.Control,
	})
	resume.New(resume.Settings{Client: common.Control, Log: common.Logger("resume")}).Register(common.Mux)
	common.Mux.Handle("POST "+limiter.PathTokens, limits)
	common.Mux.HandleFunc("POST "+limiter.PathByOrder, limits.ServeByOrder)
	return func(ctx context.Context) error {
		background, stop := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { runner.Run(background, common) })
		running.Go(func() { limits.Run(background) })
		running.Go(func() {
			startup.Log(background, common.Logger("store"), []startup.Condition{
				{Name: "configuration", Met: func() bool { return runner.Catalog().Configuration() != nil }},
				{Name: "members", Met: common.Settled},
				{Name: "leader", Met: func() bool { return len(leaders.All(common.Nodes(), common.Settings.Store.Groups)) > 0 }},
			})
		})
		err := part.Run(ctx)
		stop()
		running.Wait()
		return err
	}, nil
}

// storesOf returns the stores of a view.
func storesOf(nodes []api.Node) []api.Node {
	return slices.DeleteFunc(slices.Clone(nodes), func(node api.Node) bool { return node.Role != api.RoleStore })
}

// drainsBeforeNode reports whether a role finishes its callers' requests before its node
// stops.
func drainsBeforeNode(role api.Role) bool { return role == api.RoleSidecar || role == api.RoleFrontend }

// killTimeout bounds the wait for a killed role to end. It must be shorter than the time
// that a supervisor waits for a process.
const killTimeout = 2 * time.Second

// awaitRoleEnd waits up to killTimeout until a killed role has ended and so released the
// lock of its data folder, which the next role in the same process may need.
func awaitRoleEnd(ended <-chan error) {
	timer := time.NewTimer(killTimeout)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	}
}

// Run serves until ctx ends and then stops gracefully; the end of kill stops it at once,
// with node.ErrKilled. A sidecar or frontend finishes its callers' requests before its
// node stops; other roles run until their node has finished its requests.
func (d *Daemon) Run(ctx, kill context.Context) error {
	roleContext, stopRole := context.WithCancel(kill)
	defer stopRole()
	nodeContext, stopNode := context.WithCancel(kill)
	defer stopNode()
	if drainsBeforeNode(d.Node.Role) {
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
		awaitRoleEnd(ended)
		return node.ErrKilled
	}
	d.Node.System.Shutdown()
	return errors.Join(roleError, nodeError)
}
