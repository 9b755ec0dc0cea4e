package main

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/dykewing/dykewing/internal/limiter"
	"github.com/dykewing/dykewing/internal/transport"
)

func registerLimits(application *kingpin.Application, s *session) {
	command := application.Command("limits", "How the rate limits of tenants are granted.")
	byOrder := command.Command("by-order", "End leases, so that a build that knows none may run again (on), or allow them (off).")
	state := byOrder.Arg("state", "on or off; the node must be a store.").Required().Enum("on", "off")
	byOrder.Action(action(func() error { return s.setLimitsByOrder(*state == "on") }))
}

func (s *session) setLimitsByOrder(byOrder bool) error {
	if err := s.requireNode(); err != nil {
		return err
	}
	ctx, cancel := s.newContext()
	defer cancel()
	var result limiter.ByOrderResult
	if err := transport.Call(ctx, s.client, "set limits by order", s.node, limiter.PathByOrder, limiter.ByOrderDecision{ByOrder: byOrder}, &result); err != nil {
		return err
	}
	rows := make([]string, 0, len(result.Leased))
	for _, group := range result.Leased {
		rows = append(rows, fmt.Sprint(group))
	}
	return s.print(result, "GROUPS WITH LEASES", rows)
}
