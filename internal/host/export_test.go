package host

import (
	"context"
	"errors"

	"sesamehill.example/sesamehill/internal/entry"
	"sesamehill.example/sesamehill/internal/tree"
)

// CrashOn makes the host stop as if its process had died when crash is closed.
// The test calls ForgetTargets and breaks the connections of the host first.
func (h *Host) CrashOn(crash <-chan struct{}) {
	h.tree.Add("crash", func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-crash:
		}
		ended, end := context.WithCancel(ctx)
		end()
		_ = h.entry.Drain(ended)
		_ = h.idempotency.Close(ended)
		return tree.Fatal(errors.New("the host crashed"))
	})
}

// ForgetTargets removes all targets from the host's view, so that it cancels no run
// there.
func (h *Host) ForgetTargets() {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.fleet.targets = map[string]*targetView{}
}

// HeldBlocks returns the number of leading blocks of a prompt that the index records
// for a target.
func (h *Host) HeldBlocks(account, name string, tokens []uint32) (int, error) {
	q, err := h.newRequest(entry.Prompt{Account: account, Model: "advisor", Tokens: tokens, Max: 1})
	if err != nil {
		return 0, err
	}
	q.chain()
	held := 0
	for _, g := range h.lookup(context.Background(), q.keys) {
		if g.Target == name && g.First == 0 {
			held = g.End
		}
	}
	return held, nil
}

// HasLoadSummary reports whether this host has received a load summary from the named
// host of another region.
func (h *Host) HasLoadSummary(name string) bool {
	h.regions.mu.Lock()
	defer h.regions.mu.Unlock()
	g := h.regions.hosts[name]
	return g != nil && g.summary.Prefill > 0
}
