package store

import (
	"net/http"

	"github.com/dykewing/dykewing/internal/logform"
	"github.com/dykewing/dykewing/replication"
)

// hooks are fault injections and callbacks for tests; the zero value has none.
type hooks struct {
	skipSync        bool                  // fault: acknowledge without a sync
	skipVerify      bool                  // fault: open the file without verification
	identity        replication.ReplicaID // fault: a new disk takes this identity
	syncEach        bool                  // no group commit, as a benchmark's baseline
	skipDurableCopy bool                  // don't simulate power loss, for benchmarks
	synced          func()                // called after each sync, before dependent actions
	writeError      func() error          // called before each write
	isolated        func() bool           // while true no message is sent
	wrap            func(http.HandlerFunc) http.HandlerFunc
	freeBytes       func() (uint64, error) // replaces statfs
	legacyFormat    bool                   // behave as a build that decodes plain JSON only and announces no level
	proposed        func(data []byte)      // called with each command before it is proposed
}

// level is the highest log format that the process decodes.
func (h hooks) level() logform.Level {
	if h.legacyFormat {
		return logform.Plain
	}
	return logform.CurrentLevel
}
