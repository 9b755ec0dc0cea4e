package node

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/kv"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/table"
)

const (
	editTimeout         = 8 * time.Second
	maxEditBytes        = 16 << 10
	maxHistoryLimit     = 10_000
	defaultHistoryLimit = 50
)

// serveEdit applies an operator's edit of the table, so that operators need no
// credentials for the key-value service. The response body holds the outcome.
func (n *Node) serveEdit(w http.ResponseWriter, r *http.Request) {
	var edit api.TableEdit
	if failure := transport.ReadJSON(w, r, "read edit", maxEditBytes, &edit); failure != nil {
		transport.WriteError(w, failure)
		return
	}
	if err := edit.Validate(); err != nil {
		transport.WriteError(w, api.NewError("read edit", "", api.CodeBadRequest, api.OutcomeNotRun, "%w", err))
		return
	}
	if n.KeyValue == nil {
		transport.WriteError(w, noKeyValueError("edit table"))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), editTimeout)
	defer cancel()
	result := n.edit(ctx, edit)
	n.tableMetrics.edits.WithLabelValues(string(result.Outcome)).Inc()
	n.Logger("table").WithField("edit", edit.ID).Infof("Edit of row %s: %s.", edit.Key, result.Outcome)
	transport.WriteJSON(w, http.StatusOK, result)
}

func noKeyValueError(step string) *api.Error {
	return api.NewError(step, "", api.CodeNotFound, api.OutcomeNotRun, "this node has no key-value service in its settings; ask a router")
}

// edit runs a table.Editor against the key-value service.
func (n *Node) edit(ctx context.Context, edit api.TableEdit) api.EditResult {
	current := int64(0)
	if snapshot := n.Table(); snapshot != nil {
		current = snapshot.Revision()
	}
	editor := table.NewEditor(edit, current)
	key := table.StoreKey(n.Settings.KeyValueService.Prefix, edit.Key)
	var message table.EditorMessage = table.Start{}
	for {
		for _, action := range editor.Step(time.Now(), message) {
			if finished, ok := action.(table.Finished); ok {
				return finished.Result
			}
			message = n.executeEdit(ctx, key, action)
		}
	}
}

// executeEdit executes an action of the editor and returns the resulting message.
func (n *Node) executeEdit(ctx context.Context, key string, action table.EditorAction) table.EditorMessage {
	switch action := action.(type) {
	case table.ReadRow:
		if !n.sleep(ctx, action.Delay) {
			return table.Abort{Reason: "the key-value service did not answer in time"}
		}
		pair, revision, err := n.KeyValue.Read(ctx, key)
		return table.ReadDone{Pair: storedPair(pair), Revision: revision, Err: err}
	case table.SwapRow:
		result, err := n.KeyValue.Swap(ctx, kv.Swap{Key: key, Expected: action.Expected, Value: action.Value})
		return table.SwapDone{
			Succeeded: result.Succeeded, Revision: result.Revision, Current: storedPair(result.Current),
			Unknown: errors.Is(err, kv.ErrOutcomeUnknown), Err: err,
		}
	}
	return table.Abort{Reason: "unknown action"}
}

func storedPair(pair *kv.Pair) table.KeyValue {
	if pair == nil {
		return table.KeyValue{}
	}
	return table.KeyValue{Value: pair.Value, Revision: pair.Revision}
}

// serveHistory responds with the latest edits that the rows have recorded, newest first.
func (n *Node) serveHistory(w http.ResponseWriter, r *http.Request) {
	if n.KeyValue == nil {
		transport.WriteError(w, noKeyValueError("read history"))
		return
	}
	prefix := n.Settings.KeyValueService.Prefix
	result, err := n.KeyValue.Range(r.Context(), prefix+table.KeyPrefix)
	if err != nil {
		transport.WriteError(w, api.NewError("read history", "key-value service", api.CodeUpstream, api.OutcomeNotRun, "%w", err))
		return
	}
	records := []api.EditRecord{}
	for _, pair := range result.Pairs {
		past, err := table.History(pair.Value, pair.Revision)
		if err != nil {
			n.Logger("table").WithError(err).Errorf("Key %s does not hold a valid row; skipping its history.", pair.Key)
			continue
		}
		records = append(records, past...)
	}
	slices.SortFunc(records, func(a, b api.EditRecord) int { return cmp.Compare(b.Revision, a.Revision) })
	transport.WriteJSON(w, http.StatusOK, records[:min(len(records), historyLimit(r))])
}

func historyLimit(r *http.Request) int {
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit <= 0 {
		return defaultHistoryLimit
	}
	return min(limit, maxHistoryLimit)
}
