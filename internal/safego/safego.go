// Package safego runs functions in goroutines without letting a panic end the
// process.
//
// The supervision tree restarts the parts that panic, and an HTTP server drops the
// request that panics. A panic in any other goroutine would end the whole host. Such
// goroutines run their functions through this package, which recovers the panic,
// logs it with its stack and counts it.
//
// # Usage
//
//	go safego.Do(log, "load", func() { load(engine) })
//	go safego.KeepRunning(ctx, log, "poller", func() { poll(ctx) })
package safego

import (
	"context"
	"expvar"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/pause"
)

// restartDelay is the time before a function that has panicked runs again.
const restartDelay = 500 * time.Millisecond

// panics counts the panics of the process by part.
var panics = expvar.NewMap("panics")

// Do runs f. It recovers and logs a panic of f, and then returns false.
func Do(log *zap.Logger, part string, f func()) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			panics.Add(part, 1)
			log.Error("recovered from a panic", zap.String("part", part), zap.Any("value", p), zap.Stack("stack"))
		}
	}()
	f()
	return true
}

// KeepRunning runs f, and runs it again after each panic, until f returns or ctx
// ends.
func KeepRunning(ctx context.Context, log *zap.Logger, part string, f func()) {
	for !Do(log, part, f) && pause.For(ctx, restartDelay) == nil {
	}
}
