package routing

// Chooser runs a profile with memory that it uses again, so that a choice
// allocates nothing. It is for one goroutine.
type Chooser struct {
	Profile Profile
	request Request // of the present choice
	scored  []Scored
}

// Choose runs the stages over the endpoints; false when none is left.
func (c *Chooser) Choose(request Request, endpoints []Endpoint) (Endpoint, bool) {
	c.request = request
	c.scored = c.scored[:0]
	for i := range endpoints {
		if !c.Profile.keeps(&c.request, &endpoints[i]) {
			continue
		}
		c.scored = append(c.scored, Scored{Endpoint: &endpoints[i], Score: c.Profile.score(&c.request, &endpoints[i])})
	}
	if len(c.scored) == 0 {
		return Endpoint{}, false
	}
	return *c.Profile.Picker.Pick(&c.request, c.scored).Endpoint, true
}
