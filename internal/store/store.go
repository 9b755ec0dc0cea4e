// Package store is the role of a machine with a small disk: it holds replicas
// of the groups that keep jobs, files and claims.
package store

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/node"
	"github.com/dykewing/dykewing/table"
)

const folderMode = 0o700

// Store is the role's part of a process.
type Store struct {
	node   *node.Node
	groups map[api.GroupID]*group
}

// New opens the data folder and adds the role to a node.
func New(common *node.Node) (*Store, error) {
	settings := common.Settings.Store
	if settings.DataFolder == "" {
		return nil, errors.New("settings: store.data_folder is missing")
	}
	store := &Store{node: common, groups: map[api.GroupID]*group{}}
	for id := range api.GroupID(settings.Groups) {
		folder := filepath.Join(settings.DataFolder, fmt.Sprintf("group-%d", id))
		if err := os.MkdirAll(folder, folderMode); err != nil {
			return nil, fmt.Errorf("make data folder: %w", err)
		}
		group, err := startGroup(common.System, id, folder, settings, common.Logger("store").WithField("group", id))
		if err != nil {
			return nil, err
		}
		store.groups[id] = group
	}
	common.SetSummary(store.summary)
	common.OnTable(store.setCeilings)
	common.OnTable(func(snapshot *table.Snapshot) {
		for _, group := range store.groups {
			group.setServices(snapshot.Services())
		}
	})
	store.routes()
	return store, nil
}

// Run drives the groups until ctx ends.
func (s *Store) Run(ctx context.Context) {
	var running sync.WaitGroup
	for _, group := range s.groups {
		running.Go(func() { group.run(ctx) })
	}
	running.Wait()
}

func (s *Store) summary() api.Summary {
	var summary api.Summary
	for id := range api.GroupID(len(s.groups)) {
		summary.Groups = append(summary.Groups, s.groups[id].summary())
	}
	return summary
}
