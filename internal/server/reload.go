package server

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

// reloadInterval is the time between two reads of the settings file, which may change
// without a signal.
const reloadInterval = 500 * time.Millisecond

// WithFile sets the file from which settings are reloaded, and a function that sets
// the log level.
func WithFile(path string, setLevel func(string) error) Option {
	return func(h *Host) { h.settingsFile, h.setLevel = path, setLevel }
}

// reload reads the settings again after SIGHUP and when the file has changed.
func (h *Host) reload(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	if h.settingsFile == "" {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	last, err := os.ReadFile(h.settingsFile)
	if err != nil {
		h.log.Warn("could not read the settings file", zap.String("file", h.settingsFile), zap.Error(err))
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
		case <-ticker.C:
		}
		b, err := os.ReadFile(h.settingsFile)
		if err != nil || bytes.Equal(b, last) {
			continue
		}
		last = b
		h.applySettings(b)
	}
}

// applySettings applies changed settings. Addresses, the name and the zone keep the
// values that they had at the start.
func (h *Host) applySettings(b []byte) {
	next, err := ParseSettings(b)
	if err != nil {
		h.log.Error("settings file is invalid; keeping the previous settings", zap.Error(err))
		return
	}
	old := h.currentSettings()
	if reflect.DeepEqual(old, next) {
		return
	}
	if next.fixed() != old.fixed() {
		h.log.Warn("changed settings take effect only after a restart", zap.Any("old", old.fixed()), zap.Any("new", next.fixed()))
	}
	h.setSettings(next)
	h.updateAllowance()
	h.proxy.SetStaleLimits(next.staleLimits())
	if next.Placement != old.Placement {
		h.proxy.SetPolicy(next.placementPolicy())
	}
	if !reflect.DeepEqual(next.Away, old.Away) {
		h.proxy.SetPrices(next.Away)
	}
	if err := h.setLevel(next.Level); err != nil {
		h.log.Error("could not set the log level", zap.String("level", next.Level), zap.Error(err))
	}
	h.log.Info("settings reloaded", zap.Float64("ratio", next.Ratio), zap.Float64("slack", next.Slack), zap.Float64("grace", next.Grace), zap.String("level", next.Level))
}

// fixedSettings are the settings that a running host cannot change.
type fixedSettings struct{ Name, Zone, Platform, Front, Ready, Peer, Admin string }

func (s Settings) fixed() fixedSettings {
	return fixedSettings{s.Name, s.Zone, s.Platform, s.Front, s.Ready, s.Peer, s.Admin}
}

// currentSettings returns the settings in use.
func (h *Host) currentSettings() Settings {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.settings
}

func (h *Host) setSettings(s Settings) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settings = s
}
