package jobs

import (
	"bytes"

	"github.com/dykewing/dykewing/api"
)

// HolderChange registers a router that may hold shares of ceilings, before it
// is granted the first, or removes one of which nothing can run any more. A new
// leader asks the registered ones what they have in use (package quota).
type HolderChange struct {
	Router  api.NodeID `json:"router"`
	Removed bool       `json:"removed,omitempty"`
}

func holderKey(router api.NodeID) []byte { return nameKey(keyHolder, string(router)) }

func (c *change) changeHolder(command HolderChange) Result {
	if command.Removed {
		c.Delete(holderKey(command.Router))
		return Result{}
	}
	c.Put(holderKey(command.Router), []byte{})
	return Result{}
}

// Holders lists the registered routers, sorted.
func (s *State) Holders() (routers []api.NodeID, err error) {
	prefix := []byte{keyHolder}
	err = s.storage.View(func(r Reader) error {
		r.Scan(prefix, func(key, _ []byte) bool {
			if !bytes.HasPrefix(key, prefix) {
				return false
			}
			routers = append(routers, api.NodeID(key[len(prefix):]))
			return true
		})
		return nil
	})
	return routers, err
}
