package routing

// Chooser runs a profile with reused buffers, so that a choice does not allocate. It
// is not safe for concurrent use.
type Chooser struct {
	Profile Profile
	request Request // current request
	scored  []Scored
}

// Choose runs the stages on the endpoints. It returns false if none remains.
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
