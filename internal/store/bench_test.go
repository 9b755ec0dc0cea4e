package store

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/config"
)

const benchmarkClients = 64

// BenchmarkCommands measures the commit throughput of 64 concurrent clients and the bytes
// written to all disks per command.
func BenchmarkCommands(b *testing.B) {
	for _, stores := range []int{1, 3, 5} {
		for name, injected := range map[string]hooks{"group-commit": {}, "sync-each": {syncEach: true}} {
			b.Run(fmt.Sprintf("stores=%d/%s", stores, name), func(b *testing.B) {
				benchmarkCommands(b, stores, injected)
			})
		}
	}
}

func benchmarkCommands(b *testing.B, stores int, injected hooks) {
	c := newCluster(b, stores, func(settings *config.Store) { settings.ReplaceAfter = time.Hour })
	c.stopAll()
	injected.skipDurableCopy = true
	c.hooks = injected
	for _, m := range c.machines {
		m.start()
	}
	c.awaitLeader()
	c.createAll(0, 1)
	before := c.pagesWritten()
	var next, failed atomic.Int64
	b.ResetTimer()
	started := time.Now()
	var clients sync.WaitGroup
	for range benchmarkClients {
		clients.Go(func() {
			for number := next.Add(1); number <= int64(b.N); number = next.Add(1) {
				if c.create(context.Background(), int(number)) != nil {
					failed.Add(1)
				}
			}
		})
	}
	clients.Wait()
	elapsed := time.Since(started)
	b.StopTimer()
	if failed.Load() > 0 {
		b.Fatalf("%d commands failed", failed.Load())
	}
	b.ReportMetric(float64(b.N)/elapsed.Seconds(), "commands/s")
	b.ReportMetric(float64(c.pagesWritten()-before)/float64(b.N), "disk-B/command")
}

// pagesWritten returns the bytes of pages allocated by the stores' transactions.
func (c *cluster) pagesWritten() (total int64) {
	for _, m := range c.machines {
		stats := m.store.shared.database.bolt.Stats()
		total += stats.TxStats.GetPageAlloc()
	}
	return total
}

// BenchmarkFailover measures the time from a leader's crash to the next acknowledged command
// of a retrying client.
func BenchmarkFailover(b *testing.B) {
	for _, stores := range []int{3, 5} {
		b.Run(fmt.Sprintf("stores=%d", stores), func(b *testing.B) {
			c := newCluster(b, stores, func(settings *config.Store) {
				settings.ReplaceAfter = time.Hour
				defaults := config.Default().Store
				settings.Heartbeat, settings.ElectionTimeout = defaults.Heartbeat, defaults.ElectionTimeout
			})
			c.awaitLeader()
			c.createAll(0, 1)
			var without time.Duration
			for i := range b.N {
				crashed := c.leader()
				crashed.isolated.Store(true)
				started := time.Now()
				for c.create(context.Background(), i+1) != nil {
					continue
				}
				without += time.Since(started)
				crashed.crash()
				crashed.start()
				c.await("the restarted machine to catch up", func() bool {
					group, ok := crashed.store.group(0)
					return ok && group.members().Index > 0 && c.leader() != nil
				})
			}
			b.ReportMetric(float64(without.Milliseconds())/float64(b.N), "ms-without-leader")
		})
	}
}

// BenchmarkStart measures opening and verifying a data folder.
func BenchmarkStart(b *testing.B) {
	folder := filepath.Join(b.TempDir(), "data")
	database, err := openDatabase(folder, hooks{})
	if err != nil {
		b.Fatal(err)
	}
	if err := database.createGroup(api.GroupID(0), restoredGroup{}.origin); err != nil {
		b.Fatal(err)
	}
	const entries = 100_000
	for first := uint64(1); first < entries; first += 1000 {
		writeTestEntries(b, database, first, 1000)
	}
	if err := database.close(); err != nil {
		b.Fatal(err)
	}
	info, err := os.Stat(filepath.Join(folder, databaseFile))
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(info.Size())
	b.ResetTimer()
	for range b.N {
		database, err := openDatabase(folder, hooks{})
		if err != nil {
			b.Fatal(err)
		}
		if err := database.close(); err != nil {
			b.Fatal(err)
		}
	}
}
