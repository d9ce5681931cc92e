package gossip

import (
	"fmt"

	"github.com/juju/errors"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/verlog"
)

// Bounds of the numbers in a message. Beyond them, sums of loads and times that are
// computed from ages overflow.
const (
	maxLoad = 1 << 40
	// maxAgeMs bounds ages and the times on the platform's clock.
	maxAgeMs = 1 << 42
)

// RangeError reports a number in a message that no host sends.
type RangeError struct{ Host, Problem string }

// Error names the sender, the number and the remedy.
func (e *RangeError) Error() string {
	return fmt.Sprintf("message of host %q: %s; run the same version on all hosts", e.Host, e.Problem)
}

// Check returns an error if the message cannot be used.
func (m Message) Check() error {
	switch {
	case m.Host == "":
		return errors.New("message has no host name; its sender must set one")
	case m.Kind < Update || m.Kind > Streams:
		return errors.Errorf("message of host %q has unknown kind %d; run the same version on all hosts", m.Host, m.Kind)
	}
	if problem := m.outOfRange(); problem != "" {
		return &RangeError{Host: m.Host, Problem: problem}
	}
	return nil
}

// outOfRange returns which number is out of range; an empty text if none is.
func (m Message) outOfRange() string {
	if !ageInRange(m.SentMs) {
		return "the time of sending is out of range"
	}
	for id, l := range m.InFlight {
		if !loadInRange(l) {
			return fmt.Sprintf("load of target %q is out of range", id)
		}
	}
	for table, v := range m.Tables {
		if !ageInRange(v.AgeMs) {
			return fmt.Sprintf("age of table %q is out of range", table)
		}
	}
	for _, limits := range []map[string]fleet.Limit{m.RateLimits, m.RefusalLimits} {
		for _, l := range limits {
			if !ageInRange(l.AgeMs) || l.PerSecond != l.PerSecond {
				return "a limit of a target is out of range"
			}
		}
	}
	if m.Evacuated != nil && !m.Evacuated.Check() {
		return "the evacuated zones are out of range"
	}
	if problem := m.originsOutOfRange(); problem != "" {
		return problem
	}
	return m.versionsOutOfRange()
}

// versionsOutOfRange returns which weight version is out of range; an empty text if none
// is.
func (m Message) versionsOutOfRange() string {
	if !versionsInRange(m.Desired) {
		return "a desired weight version is out of range"
	}
	for _, versions := range m.Replaced {
		for _, v := range versions {
			if !v.inRange() {
				return "a replaced weight version is out of range"
			}
		}
	}
	for host, versions := range m.DesiredByHost {
		if !versionsInRange(versions) {
			return fmt.Sprintf("a desired weight version of host %q is out of range", host)
		}
	}
	if m.Progress == nil {
		return ""
	}
	if err := m.Progress.Check(); err != nil {
		return err.Error()
	}
	return ""
}

func versionsInRange(versions map[string]DesiredVersion) bool {
	for _, v := range versions {
		if !v.inRange() {
			return false
		}
	}
	return true
}

func (v DesiredVersion) inRange() bool {
	return v.Version >= 0 && v.Version <= verlog.MaxNumber && v.Previous >= 0 && v.Previous <= verlog.MaxNumber &&
		ageInRange(v.AgeMs) && ageInRange(v.AtMs) && ageInRange(v.KnownMs)
}

// loadInRange reports whether no number of a load is beyond maxLoad. A load may be
// negative for a moment, as it is the difference of two reports.
func loadInRange(l fleet.InFlight) bool {
	for _, n := range []int{l.Calls, l.Tokens, l.PrefillTokens, l.FetchTokens} {
		if n < -maxLoad || n > maxLoad {
			return false
		}
	}
	return true
}

func ageInRange(ms int64) bool { return ms >= 0 && ms <= maxAgeMs }
