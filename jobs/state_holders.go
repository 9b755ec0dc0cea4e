package jobs

import (
	"bytes"

	"github.com/dykewing/dykewing/api"
)

// HolderChange registers a router that may hold shares of ceilings, before its first
// grant, or removes one that can no longer run anything. A new leader asks the
// registered routers for their usage (package quota).
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

// Holders returns the registered routers, sorted.
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
