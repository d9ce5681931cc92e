package origin

import "time"

const (
	// EvidenceTTL is how long after the list of targets was current its versions are all that
	// can have begun a stream. A version listed later gets streams only SettleTime after that.
	EvidenceTTL = SettleTime - evidenceMargin
	// evidenceMargin exceeds what the clocks of two hosts differ by over SettleTime, and the
	// delay of the reply that showed the list.
	evidenceMargin = 250 * time.Millisecond
	// maxListGap is the longest time between two answers of a list that is followed: it exceeds
	// a long poll of 6 s. A version that was added and removed in a shorter gap is in MissedAt.
	maxListGap = 8 * time.Second
	// catchUpTime is how long a host that has just started, or has had a gap, follows the list
	// until it has also received from other hosts the versions that have vanished before.
	catchUpTime = 3 * time.Second
)

// Evidence shows that no other software versions exist than those that a registry has observed:
// the list of targets was current at a time, and was followed until then. It says nothing of
// versions that are listed later, so every conclusion from the absence of a version has to be
// given evidence.
type Evidence struct {
	// CurrentAt is the boot time at which the list was known to be current; zero if it never
	// was.
	CurrentAt time.Duration
	// Era is the era of the platform in which it was. A list that was restored may lack versions
	// that were listed before.
	Era uint64
	// ListedAt is the boot time of the last read of the whole list, which does not show what had
	// vanished before.
	ListedAt time.Duration
	// MissedAt is the boot time of the last read that returned the removal of a target which this host
	// had not received, so that its version is unknown; zero if there was none.
	MissedAt time.Duration
	// followedSince is the boot time since which the list has been followed without a gap.
	followedSince time.Duration
}

// Age returns the time since the list was current.
func (e Evidence) Age(now time.Duration) time.Duration { return now - e.CurrentAt }

// Covers reports whether a stream that began before now can only have begun at a version that
// was observed.
func (e Evidence) Covers(now time.Duration) bool {
	return e.CurrentAt != 0 && e.Age(now) < EvidenceTTL && now-e.followedSince >= catchUpTime &&
		(e.MissedAt == 0 || now-e.MissedAt >= Retention)
}

// follow extends the evidence by a list that was current later.
func (e *Evidence) follow(later Evidence) {
	e.MissedAt = max(e.MissedAt, later.MissedAt)
	if later.CurrentAt <= e.CurrentAt {
		return
	}
	if e.CurrentAt == 0 || later.ListedAt > e.ListedAt || later.CurrentAt-e.CurrentAt > maxListGap || later.Era != e.Era {
		e.followedSince = later.CurrentAt
	}
	e.CurrentAt, e.ListedAt, e.Era = later.CurrentAt, later.ListedAt, later.Era
}
