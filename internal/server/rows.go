package server

import (
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/feed"
	"sesamehill.example/sesamehill/internal/safego"
)

// applyEach applies rows one by one. A panic concerns only the row that caused it: a
// feed delivers each change once, so that the component that restarts would miss the
// other rows.
func applyEach(log *zap.Logger, part string, rows []feed.Row, apply func(feed.Row)) {
	for _, r := range rows {
		safego.Do(log, part, func() { apply(r) })
	}
}

// maxLoggedBytes bounds what a log line repeats of a row: decoders quote numbers in full.
const maxLoggedBytes = 200

// shorten returns the beginning of a text for the log.
func shorten(text string) string { return text[:min(len(text), maxLoggedBytes)] }
