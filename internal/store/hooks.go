package store

import (
	"net/http"

	"github.com/dykewing/dykewing/internal/logform"
	"github.com/dykewing/dykewing/replication"
)

// hooks are planted faults and observations of tests; the zero value is none.
type hooks struct {
	skipSync   bool                  // fault: acknowledge without a sync
	skipVerify bool                  // fault: serve without reading the file at start
	identity   replication.ReplicaID // fault: a new disk takes this identity
	syncEach   bool                  // no group commit, to measure against
	skipCopy   bool                  // of tests' disks, for benchmarks
	synced     func()                // after each sync, before what depends on it
	writeError func() error          // before each write
	cut        func() bool           // while true no message leaves
	wrap       func(http.HandlerFunc) http.HandlerFunc
	freeBytes  func() (uint64, error) // in place of the file system's answer
	older      bool                   // a process of the version before: it reads plain JSON only and says nothing
	proposed   func(data []byte)      // before each command goes into the log
}

// level is what the process reads.
func (h hooks) level() logform.Level {
	if h.older {
		return logform.Plain
	}
	return logform.Newest
}
