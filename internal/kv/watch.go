package kv

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Watch implements Service.
func (e *Etcd) Watch(ctx context.Context, prefix string, revision int64, deliver func(Batch)) error {
	if err := e.watch(ctx, prefix, revision, deliver); err != nil {
		return fmt.Errorf("watch %s: %w", prefix, err)
	}
	return nil
}

func (e *Etcd) watch(ctx context.Context, prefix string, revision int64, deliver func(Batch)) error {
	body, err := json.Marshal(WireWatchRequest{Create: WireWatchCreate{
		Key: []byte(prefix), RangeEnd: PrefixEnd([]byte(prefix)),
		StartRevision: Int64(revision + 1), ProgressNotify: true,
	}})
	if err != nil {
		return err
	}
	// Bounds the time until the first message, in case an endpoint accepts the connection
	// but never responds.
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(e.timeout, func() { cancel(errors.New("the watch was not confirmed in time")) })
	defer timer.Stop()
	answer, err := e.post(ctx, PathWatch, body)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	decoder := json.NewDecoder(answer.Body)
	for {
		var message WireWatchResponse
		if err := decoder.Decode(&message); err != nil {
			return errors.Join(context.Cause(ctx), err)
		}
		timer.Stop()
		if err := deliverMessage(message, deliver); err != nil {
			return err
		}
	}
}

// deliverMessage delivers the events of a message. The revision of the message that
// confirms the watch is ignored: changes up to it may not have been delivered yet, unlike
// those up to the revision of a progress notification.
func deliverMessage(message WireWatchResponse, deliver func(Batch)) error {
	if message.Error != nil {
		return fmt.Errorf("the service responded with an error: %s", message.Error.Message)
	}
	result := message.Result
	if result == nil {
		return nil
	}
	if result.CompactRevision > 0 {
		return ErrCompacted
	}
	if result.Canceled {
		return errors.New("the service canceled the watch")
	}
	if result.Created && len(result.Events) == 0 {
		return nil
	}
	deliver(batchOf(result))
	return nil
}

func batchOf(result *WireWatchResult) Batch {
	if len(result.Events) == 0 {
		return Batch{Revision: int64(result.Header.Revision)}
	}
	var batch Batch
	for _, event := range result.Events {
		pair := pairOf(event.Pair)
		batch.Revision = max(batch.Revision, pair.Revision)
		batch.Events = append(batch.Events, Event{Pair: pair, Deleted: event.Type == WireEventDelete})
	}
	return batch
}
