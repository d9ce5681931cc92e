package roll

import (
	"time"

	"go.uber.org/zap"
)

// Reason says why an engine has older weights than the desired ones.
type Reason string

// Reasons.
const (
	// NotOrdered engines wait until fewer others are out of service.
	NotOrdered Reason = "not ordered"
	// BeingOrdered engines have been sent an order, or are about to be.
	BeingOrdered Reason = "being ordered"
	// LoadingWeights engines have accepted an order.
	LoadingWeights Reason = "loading"
	// NoAnswer engines have not answered an order, and may carry it out later or never.
	NoAnswer Reason = "no answer"
	// OrderFailed engines have rejected an order or did not get it, and are ordered again
	// soon.
	OrderFailed Reason = "order failed"
	// Unreachable engines are excluded on the host that gives orders.
	Unreachable Reason = "unreachable"
)

const (
	// outdatedLogInterval is the time between two log lines about outdated engines.
	outdatedLogInterval = 2 * time.Second
	// maxLoggedEngines is the number of engines that such a line names.
	maxLoggedEngines = 5
)

// reason returns why an engine has older weights than the desired ones; empty if it has
// those.
func (e Engine) reason(desired int, now time.Duration) Reason {
	switch {
	case e.Version >= desired:
		return ""
	case e.Order == Loading:
		return LoadingWeights
	case e.Order == Sending:
		return BeingOrdered
	case e.Order == Unanswered:
		return NoAnswer
	case e.Down:
		return Unreachable
	case now < e.NotBefore:
		return OrderFailed
	}
	return NotOrdered
}

// Outdated returns the number of engines with older weights than the desired ones by reason,
// on the host that gives orders; none on others.
func (r *Roller) Outdated() map[Reason]int {
	counts := map[Reason]int{}
	if _, err := r.lease.FencingToken(); err != nil {
		return counts
	}
	desired := r.desired()
	for _, e := range r.currentEngines(desired) {
		if reason := e.reason(desired[e.Model], r.now()); reason != "" {
			counts[reason]++
		}
	}
	return counts
}

// logOutdated logs at intervals which engines have older weights than the desired ones, and
// why.
func (r *Roller) logOutdated(engines []Engine, desired map[string]int) {
	now := r.now()
	if now-r.outdatedLoggedAt < outdatedLogInterval {
		return
	}
	byReason := map[Reason][]string{}
	for _, e := range engines {
		if reason := e.reason(desired[e.Model], now); reason != "" {
			byReason[reason] = append(byReason[reason], e.ID)
		}
	}
	if len(byReason) > 0 {
		r.outdatedLoggedAt = now
	}
	for reason, ids := range byReason {
		r.log.Info(
			"engines have older weights", zap.String("reason", string(reason)), zap.Int("engines", len(ids)), zap.Int("of", len(engines)),
			zap.Strings("targets", ids[:min(len(ids), maxLoggedEngines)]),
		)
	}
}
