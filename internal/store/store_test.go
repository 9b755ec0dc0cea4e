package store

import (
	"context"
	"testing"

	"github.com/dykewing/dykewing/config"
)

func TestAcknowledgedCommandsSurviveLeaderCrash(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.awaitLeader()
	const before, after = 40, 40
	c.createAll(0, before)
	crashed := c.leader()
	crashed.crash()
	c.createAll(before, after)
	c.requireFiles(before + after)
	crashed.start()
	c.leader().crash()
	c.requireFiles(before + after)
}

func TestAnyDiskOfThreeCanBeLost(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.awaitLeader()
	const perRound = 15
	for number := range c.machines {
		c.createAll(number*perRound, perRound)
		lost := c.machines[number]
		lost.crash()
		lost.loseDisk()
		c.requireFiles((number + 1) * perRound)
		lost.start()
		c.awaitMembers(c.machines...)
	}
	c.requireFiles(len(c.machines) * perRound)
}

func TestTwoDisksOfFiveCanBeLostTogether(t *testing.T) {
	c := newCluster(t, 5, nil)
	c.awaitLeader()
	const count = 30
	c.createAll(0, count)
	first := c.leader()
	second := c.machines[(first.number+1)%5]
	for _, m := range []*testMachine{first, second} {
		m.crash()
		m.loseDisk()
	}
	c.requireFiles(count)
	first.start()
	second.start()
	c.awaitMembers(c.machines...)
	c.requireFiles(count)
}

// Verifies that the crash tests fail for a store that acknowledges without a sync.
func TestSkippedSyncIsDetected(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.awaitLeader()
	c.createAll(0, 5)
	for _, m := range c.machines {
		m.crash()
	}
	c.hooks = hooks{skipSync: true}
	for _, m := range c.machines {
		m.start()
	}
	c.awaitLeader()
	c.createAll(5, 10)
	for _, m := range c.machines {
		m.crash()
	}
	for _, m := range c.machines {
		m.start()
	}
	if lost := c.lostFiles(15); len(lost) == 0 {
		t.Fatal("nothing was lost without syncs: the crash tests can't fail")
	}
}

// Verifies that the disk loss tests fail for an empty disk that reuses the lost one's identity
// and therefore still counts for quorums.
func TestReusedIdentityIsDetected(t *testing.T) {
	c := newCluster(t, 3, func(settings *config.Store) { settings.ReplaceAfter = testTimeout })
	c.awaitLeader()
	leader := c.leader()
	cutOff := c.machines[(leader.number+1)%3]
	reused := c.machines[(leader.number+2)%3]
	cutOff.crash()
	const count = 10
	c.createAll(0, count)
	identity := reused.store.shared.database.identity
	leader.crash()
	reused.crash()
	reused.loseDisk()
	c.hooks = hooks{identity: identity}
	reused.start()
	c.hooks = hooks{}
	cutOff.start()
	if lost := c.lostFiles(count); len(lost) == 0 {
		t.Fatal("nothing was lost with a reused identity: the disk loss tests can't fail")
	}
}

func TestGroupsRunWithoutKeyValueService(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.awaitLeader()
	c.createAll(0, 10)
	c.awaitMembers(c.machines...)
	c.keyValueDown.Store(true)
	lost := c.leader()
	lost.crash()
	lost.loseDisk()
	c.createAll(10, 10)
	lost.start()
	c.awaitMembers(c.machines...)
	other := c.machines[(lost.number+1)%3]
	other.crash()
	other.start()
	c.requireFiles(20)
	c.keyValueDown.Store(false)
	c.awaitPublished()
}

// awaitPublished waits until the key-value service has the group's committed members.
func (c *cluster) awaitPublished() {
	c.t.Helper()
	c.await("published members", func() bool {
		leader := c.leader()
		if leader == nil {
			return false
		}
		records, _, err := leader.store.readGroups(context.Background())
		group, ok := leader.store.group(0)
		return err == nil && ok && records[0].Index == group.members().MembersIndex && records[0].Index > 0
	})
}

func TestLaggingReplicaInstallsSnapshot(t *testing.T) {
	c := newCluster(t, 3, func(settings *config.Store) { settings.SnapshotEntries, settings.ReplaceAfter = 100, testTimeout })
	c.awaitLeader()
	c.createAll(0, 20)
	lagging := c.machines[(c.leader().number+1)%3]
	lagging.crash()
	const count = 500
	c.createAll(20, count-20)
	c.await("compaction", func() bool {
		leader := c.leader()
		if leader == nil {
			return false
		}
		restored, err := leader.store.shared.database.restore(0)
		return err == nil && restored.machine.Snapshot.Index > 300
	})
	lagging.start()
	c.await("an installed snapshot", func() bool {
		group, ok := lagging.store.group(0)
		return ok && group.installedGeneration.Load() > 0 && group.members().Index >= count
	})
	others := c.machines[(lagging.number+1)%3]
	others.crash()
	c.requireFiles(count)
}

func TestPlannedStopTransfersLeadership(t *testing.T) {
	c := newCluster(t, 3, func(settings *config.Store) { settings.ReplaceAfter = testTimeout })
	leader := c.awaitLeader()
	c.createAll(0, 10)
	c.require(leader.stop())
	c.createAll(10, 10)
	c.requireFiles(20)
}
