package origin

import "time"

// version is a software version of a service.
type version struct {
	// settledAt is the time from which the version gets new streams, recordUntil that until
	// which each of these is stored and sent first, as other hosts may not know the version.
	settledAt, recordUntil time.Duration
	// listedAt is the time at which one of its targets was last listed at any host.
	listedAt time.Duration
}

// serviceState holds the software versions of a service that may have begun a stream that is
// resumed now.
type serviceState struct {
	versions map[string]*version
	// base is the version at which a stream without a record began; empty if unknown.
	base string
	// mixed is set while there is more than one version, or an unlisted start.
	mixed bool
	// singleSince is the time since which there has been one version, mixedSince that since
	// which there have been more.
	singleSince, mixedSince time.Duration
	// witness is set if this host has received the records of all streams that began at
	// other versions than the base.
	witness bool
}

// update derives the base of a service, and whether this host has the records of all streams
// that began at other versions, from its versions.
func (s *serviceState) update(now time.Duration) {
	wasMixed := s.mixed
	s.mixed = len(s.versions) > 1 || s.versions[UnlistedVersion] != nil
	switch {
	case !s.mixed:
		if wasMixed {
			s.singleSince = now
		}
		for software := range s.versions {
			s.base = software
		}
	case !wasMixed:
		s.mixedSince = now
		s.witness = now-s.singleSince >= witnessTime
		if s.singleSince == now {
			s.base = "" // all versions were found at once, unless a stored base follows
		}
	case now-s.mixedSince >= Retention:
		s.witness = true
	}
	if s.versions[s.base] == nil {
		s.base = ""
	}
}

func (s *serviceState) baseOrEmpty() string {
	if s == nil {
		return ""
	}
	return s.base
}
