package proxy

import (
	"sync"
	"sync/atomic"

	"sesamehill.example/sesamehill/internal/origin"
)

const (
	// minConsecutive is the number of events with consecutive IDs that show that the IDs count
	// events. IDs may also count tokens, of which an event can hold several.
	minConsecutive = 100
	// maxNumberings bounds the software versions of which the numbering is kept.
	maxNumberings = 1024
)

// numbering is what the streams of a software version of a service have shown of the IDs of
// their events, within single answers of targets. The zero value and nil have shown nothing.
type numbering struct{ consecutive, skipped atomic.Int64 }

// record records whether an event had the ID after that of the event before it.
func (n *numbering) record(consecutive bool) {
	switch {
	case n == nil:
	case consecutive:
		n.consecutive.Add(1)
	default:
		n.skipped.Add(1)
	}
}

// countsEvents reports whether an event whose ID is not the next one follows a missing one.
func (n *numbering) countsEvents() bool {
	return n != nil && n.skipped.Load() == 0 && n.consecutive.Load() >= minConsecutive
}

// numberings holds the numbering of each software version of a service.
type numberings struct {
	mu        sync.Mutex
	byVersion map[origin.Origin]*numbering
}

// of returns the numbering of a software version; nil if it is not known yet, or if those of
// too many are kept.
func (n *numberings) of(o origin.Origin) *numbering {
	if _, unlisted := origin.ParseLabel(o.Software); unlisted {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	found, ok := n.byVersion[o]
	if !ok && len(n.byVersion) < maxNumberings {
		if n.byVersion == nil {
			n.byVersion = map[origin.Origin]*numbering{}
		}
		found = &numbering{}
		n.byVersion[o] = found
	}
	return found
}
