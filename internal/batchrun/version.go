package batchrun

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/internal/backend"
	"github.com/dykewing/dykewing/route"
	"github.com/dykewing/dykewing/worker"
)

// maxVersionWait is how long an item with output waits for a slot at the version that wrote it
// while other versions have free slots. Then it is run anew.
const maxVersionWait = 2 * time.Second

// chooseService sets the service that runs an item. An item with output is bound to the software
// that wrote it, and is run anew if none of that serves any more. The caller holds the mutex.
func (l *Leader) chooseService(i *item, matched route.Route) {
	if i.origin != nil && (!matched.Allows(i.origin.Service) || !l.service.pool.ServesVersion(i.origin.Service, i.origin.Version, int(l.group))) {
		l.restart(i, "no worker of the version that wrote its output is left")
	}
	switch {
	case i.origin != nil:
		i.service = i.origin.Service
	case !matched.Allows(i.service):
		i.service = matched.Shares[0].Service
	}
}

// takeVersion takes a worker of the version that wrote the item's output, or any if there is no
// output. The caller holds the mutex.
func (l *Leader) takeVersion(now time.Time, i *item, query worker.Query) (*backend.Assignment, bool) {
	if i.origin == nil {
		return l.takeWorker(now, i.standing, query)
	}
	bound := query
	bound.Version, bound.HasVersion = i.origin.Version, true
	ticket, ok := l.takeWorker(now, i.standing, bound)
	switch {
	case ok:
		i.blockedSince = time.Time{}
	case i.blockedSince.IsZero():
		i.blockedSince = now
	case now.Sub(i.blockedSince) >= maxVersionWait:
		if ticket, ok = l.takeWorker(now, i.standing, query); ok {
			l.restart(i, "no slot at the version that wrote its output")
		}
	}
	return ticket, ok
}

// restart discards the output of an item that does not run. The stored partial output stays as it
// is: a replica of an earlier build could not remove it. So the item has none stored from now on.
func (l *Leader) restart(i *item, reason string) {
	l.log.WithFields(logrus.Fields{
		"event": "item_restarted", "request": i.job.ID, "index": i.index, "reason": reason, "bytes": len(i.text), "last_event": i.lastEventID,
	}).Info("The output of an item is discarded, and the item runs anew.")
	i.outputMutex.Lock()
	defer i.outputMutex.Unlock()
	i.text, i.lastEventID, i.origin, i.detached = nil, "", nil, true
	i.blockedSince = time.Time{}
}
