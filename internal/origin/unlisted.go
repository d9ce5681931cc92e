package origin

import (
	"strconv"
	"strings"
)

const (
	// unlistedPrefix begins the label of a start.
	unlistedPrefix = "unlisted/"
	// UnlistedVersion stands for all unlisted starts among the versions of a service, as their
	// number is not bounded.
	UnlistedVersion = "unlisted"
)

// Unlisted is a start of a target that no entry shows yet. Its software version is unknown:
// until an entry shows it, streams that it began may go on only there.
type Unlisted struct {
	Target      string
	StartedAtMs int64
}

// Label returns what stands for the software version of the start. All hosts use the same.
func (u Unlisted) Label() string {
	return unlistedPrefix + u.Target + "/" + strconv.FormatInt(u.StartedAtMs, 10)
}

// ParseLabel returns the start that a label stands for; false if it is a software version.
func ParseLabel(software string) (Unlisted, bool) {
	rest, ok := strings.CutPrefix(software, unlistedPrefix)
	if !ok {
		return Unlisted{}, false
	}
	i := strings.LastIndexByte(rest, '/')
	startedAtMs, err := strconv.ParseInt(rest[i+1:], 10, 64)
	if i < 0 || err != nil {
		return Unlisted{}, false
	}
	return Unlisted{Target: rest[:i], StartedAtMs: startedAtMs}, true
}

// Reserved reports whether a text can stand for unlisted starts, so that it names no software
// version.
func Reserved(software string) bool {
	return software == UnlistedVersion || strings.HasPrefix(software, unlistedPrefix)
}

// versionName returns the name of a software version, or of a label, among the versions of a
// service.
func versionName(software string) string {
	if _, ok := ParseLabel(software); ok {
		return UnlistedVersion
	}
	return software
}
