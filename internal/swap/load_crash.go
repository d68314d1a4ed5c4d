package swap

import "time"

const (
	// crashesToPause is the number of engines that must end while they load a model before its loads are paused. One may
	// have ended for another reason.
	crashesToPause = 2
	// minLoadPause is the first pause of the loads of such a model. It doubles with every further engine, up to
	// maxLoadPause.
	minLoadPause = 10 * time.Second
	maxLoadPause = 10 * time.Minute
)

// loadCrashes counts the engines that have ended in a row while they loaded a model.
type loadCrashes struct {
	count  int
	lastAt time.Time
}

// recordEnd records that an incarnation of an engine has ended.
func (s *Swapper) recordEnd(r *engineState, now time.Time) {
	if r == nil || r.task == nil || r.task.stage != stageLoading {
		return
	}
	key := modelKey{service: r.upstream.Service, model: r.task.model}
	c := s.loadCrashes[key]
	c.count++
	c.lastAt = now
	s.loadCrashes[key] = c
}

// loadPaused reports whether no load of a model may start now, because engines ended while they loaded it. Its weights
// could end one engine after the other, so it is loaded at one engine at a time, and after several ends not for a while.
func (s *Swapper) loadPaused(key modelKey, now time.Time) bool {
	key = key.anyRelease()
	c := s.loadCrashes[key]
	switch {
	case c.count > 0 && s.loading(key) > 0:
		return true
	case c.count < crashesToPause:
		return false
	}
	pause := minLoadPause << min(c.count-crashesToPause, 6)
	return now.Before(c.lastAt.Add(min(pause, maxLoadPause)))
}
