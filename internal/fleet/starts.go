package fleet

import (
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"
)

const (
	// unlistedPrefix begins the label of an unknown software version.
	unlistedPrefix = "unlisted/"
	// endedStartMemory is how long the software version of a start is kept after its end. A
	// stream that began there may be resumed for about as long.
	endedStartMemory = time.Minute
)

// unlistedSoftware returns the label for the unknown software version of a start. It is the
// same at all hosts.
func unlistedSoftware(id string, startedAtMs int64) string {
	return fmt.Sprintf("%s%s/%d", unlistedPrefix, id, startedAtMs)
}

// IsUnlistedSoftware reports whether a software version is the label of an unlisted start.
func IsUnlistedSoftware(software string) bool { return strings.HasPrefix(software, unlistedPrefix) }

// endedStarts holds the software versions of starts that have ended, by their labels.
type endedStarts map[string]endedStart

type endedStart struct {
	software string
	endedAt  time.Duration
}

// add records that a listed start has ended.
func (e endedStarts) add(t Target, now time.Duration) {
	if t.Unlisted {
		return
	}
	maps.DeleteFunc(e, func(_ string, s endedStart) bool { return now-s.endedAt > endedStartMemory })
	e[unlistedSoftware(t.ID, t.StartedAtMs)] = endedStart{software: t.Software, endedAt: now}
}

// ListedSoftware returns the software version that the entry of a start shows, if software is
// the label that the start had before the entry arrived; otherwise software itself.
func (f *Fleet) ListedSoftware(software string) string {
	start, ok := strings.CutPrefix(software, unlistedPrefix)
	if !ok {
		return software
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ended := f.ended[software]; ended {
		return s.software
	}
	slash := strings.LastIndexByte(start, '/')
	if slash < 0 {
		return software
	}
	s, ok := f.targets[start[:slash]]
	if !ok || s.Unlisted || strconv.FormatInt(s.StartedAtMs, 10) != start[slash+1:] {
		return software
	}
	return s.Software
}
