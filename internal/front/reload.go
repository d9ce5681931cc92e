package front

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"go.uber.org/zap"
)

// reloadPeriod is the time between two looks at the settings file, which may
// change without a signal.
const reloadPeriod = 500 * time.Millisecond

// WithFile sets the file from which settings are read again, and a function that
// puts a log level in force.
func WithFile(path string, level func(string) error) Option {
	return func(h *Host) { h.file, h.level = path, level }
}

// reload reads the settings again after SIGHUP and when the file has changed.
func (h *Host) reload(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	if h.file == "" {
		<-ctx.Done()
		return nil
	}
	t := time.NewTicker(reloadPeriod)
	defer t.Stop()
	last, err := os.ReadFile(h.file)
	if err != nil {
		h.log.Warn("settings not read", zap.String("file", h.file), zap.Error(err))
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
		case <-t.C:
		}
		b, err := os.ReadFile(h.file)
		if err != nil || bytes.Equal(b, last) {
			continue
		}
		last = b
		h.apply(b)
	}
}

// apply puts changed settings in force. Addresses, the name and the zone stay as
// they were at the start.
func (h *Host) apply(b []byte) {
	next, err := ParseSettings(b)
	if err != nil {
		h.log.Error("settings not reloaded", zap.Error(err))
		return
	}
	old := h.current()
	if reflect.DeepEqual(old, next) {
		return
	}
	if next.fixed() != old.fixed() {
		h.log.Warn("settings that need a restart have changed", zap.Any("old", old.fixed()), zap.Any("new", next.fixed()))
	}
	h.setSettings(next)
	h.gate.SetAllowance(next.allowance())
	h.gate.SetStaleLimit(next.staleLimit())
	if next.Placement != old.Placement {
		h.gate.SetPolicy(next.policy())
	}
	if err := h.level(next.Level); err != nil {
		h.log.Error("log level not set", zap.String("level", next.Level), zap.Error(err))
	}
	h.log.Info("settings reloaded", zap.Float64("ratio", next.Ratio), zap.Float64("slack", next.Slack), zap.Float64("grace", next.Grace), zap.String("level", next.Level))
}

// fixed are the settings that a running host cannot change.
type fixed struct{ Name, Zone, Platform, Front, Ready, Peer, Admin string }

func (s Settings) fixed() fixed {
	return fixed{s.Name, s.Zone, s.Platform, s.Front, s.Ready, s.Peer, s.Admin}
}

// current returns the settings in force.
func (h *Host) current() Settings {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.settings
}

func (h *Host) setSettings(s Settings) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settings = s
}
