package node

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/config"
	"github.com/dykewing/dykewing/internal/standin/keyvalue"
	"github.com/dykewing/dykewing/internal/transport"
)

// startRouters runs router nodes against a fake key-value service.
func startRouters(t *testing.T, service *keyvalue.Server, count int, known ...*Node) []*Node {
	t.Helper()
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	var nodes []*Node
	for i := range count {
		settings := config.Default()
		settings.Node.ID, settings.Node.Address = fmt.Sprintf("router-%d", len(known)+i), "127.0.0.1:0"
		settings.Membership = config.Membership{Interval: 50 * time.Millisecond, SuspectTimeout: time.Second}
		settings.KeyValueService.Endpoints = []string{server.URL}
		settings.KeyValueService.RequestsPerSecond = 1000
		settings.KeyValueService.Timeout = time.Second
		settings.KeyValueService.Watchers = 1
		for _, peer := range append(slices.Clone(known), nodes...) {
			settings.Peers = append(settings.Peers, peer.Address())
		}
		node, err := New(api.RoleRouter, settings, log)
		if err != nil {
			t.Fatal(err)
		}
		nodes = append(nodes, node)
		running.Go(func() { _ = node.Run(ctx, ctx) })
	}
	return nodes
}

// eventually waits up to a minute for a condition to hold.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

func post(t *testing.T, node *Node, edit api.TableEdit) (api.EditResult, error) {
	t.Helper()
	var result api.EditResult
	err := transport.Call(context.Background(), node.Control, "edit", node.Address(), api.PathEdits, edit, &result)
	return result, err
}

// rowValue is the state of the register that an edit compares and swaps.
type rowValue struct {
	revision int64
	weight   float64
}

type editInput struct {
	expect int64
	weight float64
}

// unknownRevision is the revision after an edit with an unknown outcome took effect.
const unknownRevision = -1

// registerModel is a compare-and-swap register: an accepted edit swaps a row at the
// expected revision, a conflict returns the current row, a refused edit changes nothing,
// and an unknown edit may or may not have taken effect.
func registerModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{rowValue{}} },
		Step: func(state, input, output any) []any {
			row, edit, result := state.(rowValue), input.(editInput), output.(api.EditResult)
			switch result.Outcome {
			case api.EditAccepted:
				expected := edit.expect == 0 || row.revision == unknownRevision || edit.expect == row.revision
				if expected && result.Revision > row.revision {
					return []any{rowValue{revision: result.Revision, weight: edit.weight}}
				}
			case api.EditConflict:
				if row.matches(result.Current) {
					return []any{row}
				}
			case api.EditRefused:
				return []any{row}
			case api.EditUnknown:
				return []any{row, rowValue{revision: unknownRevision, weight: edit.weight}}
			}
			return nil
		},
	}
	return model.ToModel()
}

func (r rowValue) matches(standing *api.VersionedRow) bool {
	if standing == nil {
		return r.revision == 0
	}
	return standing.Row.Weight == r.weight && (r.revision == unknownRevision || standing.Revision == r.revision)
}

// TestConcurrentEditsAreLinearizable sends concurrent edits through three routers while
// the service drops requests and responses and delays changes.
func TestConcurrentEditsAreLinearizable(t *testing.T) {
	service := keyvalue.NewServer()
	service.Seed(7)
	service.SetFaults(keyvalue.Faults{DropResponses: 0.15, DropRequests: 0.1, DelayTxns: 0.1, TxnDelayMilliseconds: 60})
	nodes := startRouters(t, service, 3)
	key := api.RowKey{Service: "model", Place: "east"}
	var mutex sync.Mutex
	var history []porcupine.Operation
	counts := map[api.EditOutcome]int{}
	begin := time.Now()
	var clients sync.WaitGroup
	for client := range 4 {
		random := rand.New(rand.NewPCG(uint64(client), 1))
		clients.Go(func() {
			known := int64(0)
			for number := range 10 {
				time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
				weight := float64(client*100 + number)
				edit := api.TableEdit{ID: fmt.Sprintf("%d-%d", client, number), Key: key, Create: true, Change: api.RowChange{Weight: &weight}}
				if random.IntN(2) == 0 {
					edit.ExpectedRevision = known
				}
				since := int64(1)
				if snapshot := nodes[0].Table(); snapshot != nil {
					since = max(snapshot.Revision(), 1)
				}
				called := time.Since(begin)
				result, err := post(t, nodes[random.IntN(len(nodes))], edit)
				for resend := 0; resend < 3 && (err != nil || result.Outcome == api.EditUnknown); resend++ {
					edit.SinceRevision = since
					result, err = post(t, nodes[random.IntN(len(nodes))], edit)
				}
				if result.Current != nil {
					known = result.Current.Revision
				}
				mutex.Lock()
				counts[result.Outcome]++
				history = append(history, porcupine.Operation{
					ClientId: client, Input: editInput{expect: edit.ExpectedRevision, weight: weight},
					Call: int64(called), Output: result, Return: int64(time.Since(begin)),
				})
				mutex.Unlock()
			}
		})
	}
	clients.Wait()
	t.Logf("outcomes: %v", counts)
	if counts[api.EditAccepted] == 0 || counts[api.EditConflict] == 0 {
		t.Error("the run had no accepted or no conflicting edits")
	}
	if result := porcupine.CheckOperationsTimeout(registerModel(), history, 20*time.Second); result != porcupine.Ok {
		t.Fatalf("the history of %d edits is not linearizable: %v", len(history), result)
	}
	// The model must reject an accepted edit that never took effect.
	for i, operation := range history {
		if operation.Output.(api.EditResult).Outcome == api.EditConflict {
			history[i].Output = api.EditResult{Outcome: api.EditAccepted, Revision: 1 << 40}
			break
		}
	}
	if result := porcupine.CheckOperationsTimeout(registerModel(), history, 20*time.Second); result == porcupine.Ok {
		t.Error("the model accepted a conflict that was reported as accepted")
	}
}

// TestTableSurvivesOutage checks that nodes keep the table during an outage and receive
// later changes despite a compaction and stalled watches.
func TestTableSurvivesOutage(t *testing.T) {
	service := keyvalue.NewServer()
	nodes := startRouters(t, service, 3)
	key := api.RowKey{Service: "model", Place: "east"}
	set := func(id string, weight float64) int64 {
		result, err := post(t, nodes[0], api.TableEdit{ID: id, Key: key, Create: true, Change: api.RowChange{Weight: &weight}})
		if err != nil || result.Outcome != api.EditAccepted {
			t.Fatalf("%+v, %v", result, err)
		}
		return result.Revision
	}
	applied := func(revision int64, weight float64) func() bool {
		return func() bool {
			for _, node := range nodes {
				if node.Table() == nil || node.Table().Revision() < revision {
					return false
				}
				if row, ok := node.Table().Row(key); !ok || row.Weight != weight {
					return false
				}
			}
			return true
		}
	}
	first := set("first", 1)
	eventually(t, "the first edit to apply", applied(first, 1))
	service.SetFaults(keyvalue.Faults{Outage: true})
	weight := 2.0
	if result, err := post(t, nodes[1], api.TableEdit{ID: "lost", Key: key, Change: api.RowChange{Weight: &weight}}); err != nil || result.Outcome == api.EditAccepted {
		t.Errorf("an edit during the outage: %+v, %v", result, err)
	}
	if !applied(first, 1)() {
		t.Error("the table changed during the outage")
	}
	service.Compact()
	service.SetFaults(keyvalue.Faults{StuckWatches: true})
	second := set("second", 3)
	service.SetFaults(keyvalue.Faults{})
	eventually(t, "the second edit to apply", applied(second, 3))
}

func TestNodeStartedDuringOutageFetchesTableFromPeer(t *testing.T) {
	service := keyvalue.NewServer()
	nodes := startRouters(t, service, 2)
	weight := 1.0
	key := api.RowKey{Service: "model", Place: "east"}
	result, err := post(t, nodes[0], api.TableEdit{ID: "only", Key: key, Create: true, Change: api.RowChange{Weight: &weight}})
	if err != nil || result.Outcome != api.EditAccepted {
		t.Fatalf("%+v, %v", result, err)
	}
	eventually(t, "the edit to apply", func() bool {
		return nodes[0].Table() != nil && nodes[0].Table().Revision() >= result.Revision
	})
	service.SetFaults(keyvalue.Faults{Outage: true})
	late := startRouters(t, service, 1, nodes...)[0]
	eventually(t, "the table from a peer", func() bool {
		return late.Table() != nil && late.Table().Revision() >= result.Revision
	})
	if row, ok := late.Table().Row(key); !ok || row.Weight != weight {
		t.Errorf("got %+v, %v", row, ok)
	}
}

func TestInvalidRowKeepsCurrentRow(t *testing.T) {
	service := keyvalue.NewServer()
	nodes := startRouters(t, service, 2)
	key := api.RowKey{Service: "model", Place: "east"}
	weight := 1.0
	result, err := post(t, nodes[0], api.TableEdit{ID: "good", Key: key, Create: true, Change: api.RowChange{Weight: &weight}})
	if err != nil || result.Outcome != api.EditAccepted {
		t.Fatalf("%+v, %v", result, err)
	}
	for _, node := range nodes { // otherwise a node may read the invalid value first and have no current row
		eventually(t, "the good edit at "+string(node.ID()), func() bool {
			return node.Table() != nil && node.Table().Revision() >= result.Revision
		})
	}
	service.Put("/dykewing/table/model/east", []byte(`{"row":{"service":"model","place":"east","weight":-5}}`))
	bad := service.Stats().Revision
	eventually(t, "the revision of the invalid value", func() bool {
		return nodes[0].Table() != nil && nodes[0].Table().Revision() >= bad && nodes[1].Table() != nil && nodes[1].Table().Revision() >= bad
	})
	for _, node := range nodes {
		if row, ok := node.Table().Row(key); !ok || row.Weight != 1 {
			t.Errorf("row %+v, %v is current at %s, want weight 1", row, ok, node.ID())
		}
	}
}
