package replication

import (
	"slices"
	"time"

	"github.com/dykewing/dykewing/sim"
)

// startOperator replaces lost replicas through the leader, one membership change at a
// time.
func (c *cluster) startOperator(interval time.Duration) {
	c.simulation.After(interval, func() {
		for _, r := range c.replicas {
			if r.leading && r.process.Up() && !r.process.Paused() {
				c.repairMembers(r)
			}
		}
		c.startOperator(interval)
	})
}

func (c *cluster) repairMembers(leader *replica) {
	members := leader.machine.Status().Members
	wanted := c.replicaIDs()
	next := Members{Voters: slices.Clone(members.Voters), Learners: slices.Clone(members.Learners)}
	for _, id := range wanted {
		if members.isLearner(id) {
			next.Learners = slices.DeleteFunc(next.Learners, func(other ReplicaID) bool { return other == id })
			next.Voters = append(next.Voters, id)
			break
		}
		if !members.isVoter(id) {
			next.Learners = append(next.Learners, id)
			break
		}
	}
	if len(next.replicaIDs()) == len(members.replicaIDs()) && len(next.Voters) == len(members.Voters) {
		gone := slices.IndexFunc(next.Voters, func(id ReplicaID) bool { return !slices.Contains(wanted, id) })
		if gone < 0 {
			return
		}
		next.Voters = slices.Delete(next.Voters, gone, gone+1)
	}
	c.serial++
	leader.step(ProposeMembers{Token: c.serial, Members: next})
}

func (c *cluster) replicaIDs() []ReplicaID {
	var ids []ReplicaID
	for _, r := range c.replicas {
		ids = append(ids, r.id)
	}
	return ids
}

// membershipRestored reports whether the leader's committed voters are exactly the
// current replicas.
func (c *cluster) membershipRestored() bool {
	for _, r := range c.replicas {
		if r.leading && r.process.Up() {
			members := r.machine.members.at(r.machine.committed)
			wanted := Members{Voters: c.replicaIDs()}
			return slices.Equal(members.replicaIDs(), wanted.replicaIDs()) && len(members.Learners) == 0
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
