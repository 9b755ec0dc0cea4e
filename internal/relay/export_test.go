package relay

import "github.com/dykewing/dykewing/feed"

// SetMembers replaces what is known of the zone; before the relay is used.
func (r *Relay) SetMembers(members func() []feed.Member) { r.members = members }
