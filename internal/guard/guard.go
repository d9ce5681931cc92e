// Package guard keeps a panic from ending the process.
//
// The tree restarts its parts and an HTTP server drops the request that panics,
// but a goroutine of their own would take the whole host with it. Such goroutines
// run under this package, which logs the panic with its stack and counts it.
//
// # Usage
//
//	go guard.Do(log, "load", func() { load(engine) })
//	go guard.Keep(ctx, log, "poller", func() { poll(ctx) })
package guard

import (
	"context"
	"expvar"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/pause"
)

// again is the time before a function that has panicked runs again.
const again = 500 * time.Millisecond

// panics counts panics by part over the process.
var panics = expvar.NewMap("panics")

// Do runs f. It returns false, after logging it, if f panics.
func Do(log *zap.Logger, part string, f func()) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			panics.Add(part, 1)
			log.Error("panic", zap.String("part", part), zap.Any("value", p), zap.Stack("stack"))
		}
	}()
	f()
	return true
}

// Keep runs f, and again after each panic, until f returns or ctx ends.
func Keep(ctx context.Context, log *zap.Logger, part string, f func()) {
	for !Do(log, part, f) && pause.For(ctx, again) == nil {
	}
}
