package fleet

import "time"

const (
	// probeLead is how long before its exclusion ends a target is probed, so that
	// the probe, and not a request, detects that it is still unreachable.
	probeLead = 150 * time.Millisecond
	// directEvidenceTTL is how long data or a connection from the target itself
	// outweighs a report of another host.
	directEvidenceTTL = time.Second
	// maxSuspectShare is the share of all targets above which a host that reports
	// them as unreachable is more likely cut off itself.
	maxSuspectShare = 0.5
)

// markUnreachable records a failed connection to a target and excludes the target
// for a growing time.
func (f *Fleet) markUnreachable(s *state, now time.Duration) {
	s.connectFailures++
	s.downUntil, s.doubtedAt = now+downTime(s.connectFailures), now
	s.suspected, s.probing = false, false
	f.onChange(Change{Target: *s.Target, Event: "unreachable"})
}

// downTime returns the time for which a target gets no requests after a number of failed
// connections in a row.
func downTime(failures int) time.Duration {
	return min(minDownTime<<min(failures-1, 3), maxDownTime)
}

// markReachable records that a target accepted a connection.
func (f *Fleet) markReachable(s *state, now time.Duration) {
	if s.connectFailures > 0 {
		f.onChange(Change{Target: *s.Target, Event: "reachable"})
	}
	s.connectFailures, s.downUntil, s.connectedAt = 0, 0, now
	s.suspected, s.probing = false, false
}

// RecordResponse records that a target has answered a query.
func (f *Fleet) RecordResponse(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.targets[id]; ok {
		s.lastDataAt = f.now()
	}
}

// down reports whether a target is excluded.
func (s *state) down(now time.Duration) bool { return s.probing || now < s.downUntil }

// doubted reports whether a target may be unreachable, or may have restarted meanwhile, until a
// probe succeeds.
func (s *state) doubted() bool { return s.connectFailures > 0 || s.suspected }

// Suspect records the targets that another host cannot reach. Each one from which
// this host has had no data or connection lately is excluded until a probe of this
// host succeeds, so that not every host has to lose requests there.
func (f *Fleet) Suspect(host string, ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if float64(len(ids)) > maxSuspectShare*float64(len(f.targets)) {
		return
	}
	now := f.now()
	for _, id := range ids {
		s, ok := f.targets[id]
		if !ok {
			continue
		}
		s.tunnel.reportedAt = now
		if s.worthProbing(now) {
			f.suspect(s, now, host)
		}
	}
}

// ProbeSoon excludes a target that gave no answer until a probe of this host succeeds,
// unless it has sent data lately.
func (f *Fleet) ProbeSoon(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if s, ok := f.targets[id]; ok && s.worthProbing(now) {
		f.suspect(s, now, "this host")
	}
}

// worthProbing reports whether a doubt about a target counts: it is not excluded already, and
// nothing has shown lately that this host reaches it.
func (s *state) worthProbing(now time.Duration) bool {
	return !s.down(now) && now-max(s.lastDataAt, s.connectedAt) >= directEvidenceTTL
}

// suspect excludes a target until a probe of this host succeeds.
func (f *Fleet) suspect(s *state, now time.Duration, by string) {
	s.suspected, s.downUntil, s.doubtedAt = true, now+minDownTime, now
	f.onChange(Change{Target: *s.Target, Event: "suspected by " + by})
}

// Unreachable returns the targets to which this host itself failed to connect; none if
// those are most of all targets, as the host is then more likely cut off itself.
func (f *Fleet) Unreachable() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var ids []string
	failed := 0
	for id, s := range f.targets {
		if s.connectFailures == 0 {
			continue
		}
		failed++
		if s.down(now) {
			ids = append(ids, id)
		}
	}
	if float64(failed) > maxSuspectShare*float64(len(f.targets)) {
		return nil
	}
	return ids
}

// ProbesPending reports whether any target is excluded, or may be soon, so that
// DueProbes has to be called.
func (f *Fleet) ProbesPending() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.targets {
		if s.downUntil > 0 || s.suspected || s.probing {
			return true
		}
	}
	return false
}

// DueProbes returns the targets to probe now. Each one stays excluded until the
// caller passes the result of its probe to RecordProbe.
func (f *Fleet) DueProbes() []Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var due []Target
	for _, s := range f.targets {
		expiring := s.downUntil > 0 && now >= s.downUntil-probeLead
		if s.probing || !s.suspected && !expiring {
			continue
		}
		s.probing = true
		due = append(due, *s.Target)
	}
	return due
}

// RecordProbe records whether a target accepted the connection of its probe.
func (f *Fleet) RecordProbe(t Target, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, known := f.targets[t.ID]
	switch {
	case !known || !s.probing:
	case ok:
		f.markReachable(s, f.now())
	default:
		f.markUnreachable(s, f.now())
	}
}
