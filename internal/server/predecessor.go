package server

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/wire"
)

// readPredecessor reads the row that the last process of this host has left, and takes account
// of the repeats that it may have sent. It runs before the first write of the row.
func (m *members) readPredecessor(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rowWriteTimeout)
	defer cancel()
	name := m.host.currentSettings().Name
	rows, err := m.table.Read(ctx, name)
	if err != nil || len(rows) != 1 || rows[0].Version == 0 {
		return
	}
	var row memberRow
	if err := json.Unmarshal(rows[0].Value, &row); err != nil || row.check(name) != nil || row.StartedAtMs == m.startedAtMs {
		return
	}
	m.host.recordPredecessor(row)
}

// recordPredecessor records the last row of the previous process of this host. That process
// may have run until the row was due again.
func (h *Host) recordPredecessor(row memberRow) {
	now, known := h.storeTime()
	if row.AtMs == 0 || !known {
		return
	}
	window := h.currentSettings().retryAllowance().Window
	interval := row.lifetime() / missedWrites
	left := min(time.Duration(row.AtMs-now)*time.Millisecond+interval+window, window)
	if left <= 0 {
		return
	}
	h.mu.Lock()
	h.repeatsFrom = wire.BootTime() + left
	h.mu.Unlock()
	h.log.Info("fixed part of the retry budget not used yet: an earlier process of this host may have used it", zap.Duration("left", left))
	h.updateAllowance()
}

// updateAllowance sets the retry budget from the settings and from the end of the previous
// process of this host.
func (h *Host) updateAllowance() {
	a := h.currentSettings().retryAllowance()
	h.mu.Lock()
	a.FixedFrom = h.repeatsFrom
	h.mu.Unlock()
	h.proxy.SetAllowance(a)
}

// storeTime returns the time on the platform's clock; false if it is not known.
func (h *Host) storeTime() (int64, bool) {
	if h.clock == nil {
		return 0, false
	}
	return h.clock.Now()
}
