package feed

import "time"

const (
	// maxPageTime is the time of a page of the full state, read from a service that is not
	// congested.
	maxPageTime = 100 * time.Millisecond
	// minPagePause is the pause of a process that knows of no watchers. maxPagePause is the
	// longest of all.
	minPagePause = 200 * time.Millisecond
	maxPagePause = 5 * time.Second
	// presumedPeers is the number of processes that a process presumes to read pages like
	// itself as long as it knows of no watchers: a state of several pages is that of a fleet.
	presumedPeers = 100
)

// RecordPage records that the service has returned a page of the full state, but not the last
// one, within took. All but watchers and standbys pause after a late page, as long as many of
// their kind need to leave the service to the watchers. A process that knows of no watchers,
// which is so until it has heard of the members of its zone, pauses after each page.
func (c *Chooser) RecordPage(now time.Time, took time.Duration) {
	c.sources[""] = &sourceState{}
	c.lastPage, c.lastPageTook = now, took
}

// pagePause depends on what is known of the zone now, so that a process that turns out to be a
// watcher goes on at once.
func (c *Chooser) pagePause() time.Duration {
	late := max(c.lastPageTook-maxPageTime, 0)
	switch {
	case c.lastPage.IsZero():
		return 0
	case !c.UsesWatchers():
		return min(max(presumedPeers*late, minPagePause), maxPagePause)
	case c.ServesPeers():
		return 0
	}
	peersPerWatcher := time.Duration(len(c.ranked) / c.settings.Watchers)
	return min(peersPerWatcher*late, maxPagePause)
}

// Readers returns how many processes of a fleet of so many zones like this one read the full state
// from the service, or stand in for those that do, and whether this process is one of them.
func (c *Chooser) Readers(zones int) (n int, self bool) {
	if !c.UsesWatchers() {
		return zones * max(len(c.ranked), 1), true
	}
	return zones * min(c.settings.Watchers+c.settings.Standbys, len(c.ranked)), c.ServesPeers()
}
