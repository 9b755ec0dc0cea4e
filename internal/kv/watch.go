package kv

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Watch streams changes after the revision.
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
	// Without this an endpoint that takes the connection and says nothing would
	// hold the watch for ever.
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
		var message WireWatchAnswer
		if err := decoder.Decode(&message); err != nil {
			return errors.Join(context.Cause(ctx), err)
		}
		timer.Stop()
		if err := deliverMessage(message, deliver); err != nil {
			return err
		}
	}
}

// deliverMessage passes events on. Only progress notices and events tell what
// has been delivered; the message that confirms the watch does not, although
// it carries the service's revision.
func deliverMessage(message WireWatchAnswer, deliver func(Batch)) error {
	if message.Error != nil {
		return fmt.Errorf("the service answered: %s", message.Error.Message)
	}
	result := message.Result
	if result == nil {
		return nil
	}
	if result.CompactRevision > 0 {
		return ErrCompacted
	}
	if result.Canceled {
		return errors.New("the service cancelled the watch")
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
