package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/transport"
)

func registerNodes(application *kingpin.Application, s *session) {
	application.Command("nodes", "List the nodes that a node knows.").Action(action(s.listNodes))
}

func (s *session) listNodes() error {
	if s.node == "" {
		return errors.New("nodes: --node is missing")
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	var nodes []api.Node
	if err := transport.Get(ctx, s.client, "list nodes", s.node, api.PathNodes, &nodes); err != nil {
		return err
	}
	rows := make([]string, 0, len(nodes))
	for _, node := range nodes {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%v\t%d", node.ID, node.Role, node.Location.Zone, node.Address, node.Leaving, node.TableRevision))
	}
	return s.print(nodes, "NODE\tROLE\tZONE\tADDRESS\tLEAVING\tTABLE", rows)
}
