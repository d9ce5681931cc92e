package fleet

import "time"

const (
	// probeLead is how long before the end of its time a target that is passed over
	// is probed, so that a probe rather than a request finds out.
	probeLead = 150 * time.Millisecond
	// provenFor is how long the word of another host counts less than what came
	// from the target itself.
	provenFor = time.Second
	// suspectShare is the share of all targets above which a host that finds them
	// unreachable is more likely cut off itself.
	suspectShare = 0.5
)

// unreachable notes that a target took no connection.
func (f *Fleet) unreachable(s *state, now time.Duration) {
	s.downs++
	s.downUntil = now + min(firstDown<<min(s.downs-1, 3), maxDown)
	s.suspected, s.probing = false, false
	f.changed(Change{Target: *s.Target, What: "unreachable"})
}

// reachable notes that a target took a connection.
func (f *Fleet) reachable(s *state, now time.Duration) {
	if s.downs > 0 {
		f.changed(Change{Target: *s.Target, What: "reachable"})
	}
	s.downs, s.downUntil, s.proven = 0, 0, now
	s.suspected, s.probing = false, false
}

// down reports whether a target is passed over.
func (s *state) down(now time.Duration) bool { return s.probing || now < s.downUntil }

// Suspect notes the targets that another host cannot reach. Each one that this
// host has not heard lately is passed over until a probe of this host decides, so
// that not every host has to lose requests there.
func (f *Fleet) Suspect(host string, ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if float64(len(ids)) > suspectShare*float64(len(f.targets)) {
		return
	}
	now := f.now()
	for _, id := range ids {
		s, ok := f.targets[id]
		if !ok || s.down(now) || now-max(s.heard, s.proven) < provenFor {
			continue
		}
		s.suspected, s.downUntil = true, now+firstDown
		f.changed(Change{Target: *s.Target, What: "suspected by " + host})
	}
}

// Unreachable returns the targets that this host itself cannot reach.
func (f *Fleet) Unreachable() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var ids []string
	for id, s := range f.targets {
		if s.downs > 0 && s.down(now) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Doubtful reports whether any target is passed over, or may be soon.
func (f *Fleet) Doubtful() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.targets {
		if s.downUntil > 0 || s.suspected || s.probing {
			return true
		}
	}
	return false
}

// Due returns the targets to probe now. Each one is passed over until Probed tells
// how its probe ended.
func (f *Fleet) Due() []Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var due []Target
	for _, s := range f.targets {
		ends := s.downUntil > 0 && now >= s.downUntil-probeLead
		if s.probing || !s.suspected && !ends {
			continue
		}
		s.probing = true
		due = append(due, *s.Target)
	}
	return due
}

// Probed notes whether a target that was due took a connection.
func (f *Fleet) Probed(t Target, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, known := f.targets[t.ID]
	switch {
	case !known || !s.probing:
	case ok:
		f.reachable(s, f.now())
	default:
		f.unreachable(s, f.now())
	}
}
