package replication

import (
	"slices"
	"time"

	"github.com/dykewing/dykewing/sim"
)

// operator replaces lost replicas through the leader, a step at a time.
func (c *cluster) operator(interval time.Duration) {
	c.simulation.After(interval, func() {
		for _, r := range c.replicas {
			if r.leading && r.process.Up() && !r.process.Paused() {
				c.repair(r)
			}
		}
		c.operator(interval)
	})
}

func (c *cluster) repair(leader *replica) {
	members := leader.machine.Status().Members
	wanted := c.identities()
	next := Members{Voters: slices.Clone(members.Voters), Learners: slices.Clone(members.Learners)}
	for _, id := range wanted {
		if members.learns(id) {
			next.Learners = slices.DeleteFunc(next.Learners, func(other ReplicaID) bool { return other == id })
			next.Voters = append(next.Voters, id)
			break
		}
		if !members.votes(id) {
			next.Learners = append(next.Learners, id)
			break
		}
	}
	if len(next.all()) == len(members.all()) && len(next.Voters) == len(members.Voters) {
		gone := slices.IndexFunc(next.Voters, func(id ReplicaID) bool { return !slices.Contains(wanted, id) })
		if gone < 0 {
			return
		}
		next.Voters = slices.Delete(next.Voters, gone, gone+1)
	}
	c.serial++
	leader.step(ProposeMembers{Token: c.serial, Members: next})
}

func (c *cluster) identities() []ReplicaID {
	var ids []ReplicaID
	for _, r := range c.replicas {
		ids = append(ids, r.id)
	}
	return ids
}

// whole tells whether the voters are just the present replicas, by the leader's
// committed members.
func (c *cluster) whole() bool {
	for _, r := range c.replicas {
		if r.leading && r.process.Up() {
			members := r.machine.members.at(r.machine.committed)
			wanted := Members{Voters: c.identities()}
			return slices.Equal(members.all(), wanted.all()) && len(members.Learners) == 0
		}
	}
	return false
}

// heal ends all faults.
func (c *cluster) heal() {
	c.network.Heal()
	c.network.SetFaults(sim.Faults{})
	for _, r := range c.replicas {
		r.restart()
		if r.process.Paused() {
			r.process.Resume()
		}
	}
}
