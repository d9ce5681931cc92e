package server

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/gossip"
	"sesamehill.example/sesamehill/internal/origin"
	"sesamehill.example/sesamehill/internal/relay"
	"sesamehill.example/sesamehill/internal/roll"
)

// Guards against evidence that something does not exist which is trusted for longer than others
// wait before they act on what has appeared (docs/design/evidence.md).
func TestEvidenceExpiresBeforeOthersAct(t *testing.T) {
	own := Settings{Lease: 3000}
	for _, c := range []struct {
		name          string
		shorter, than time.Duration
	}{
		{"orders of two holders, with the call of the last one", 3*time.Second + roll.CallTimeout - 1, leaseMargin + own.takeoverDelay()},
		{"a lost message of another host, and a gap in its messages", 2 * gossip.MaxInterval, origin.SettleTime},
		{"a renewal of the lease that fails, and one that follows", leaseRenewInterval*5/4 + leaseTimeout, leaseTTL - leaseMargin},
		{"a stream that may be resumed, and its stored row", origin.Retention, (streamRows - 1) * streamRowTime},
		{"a refresh of the intent that fails, and one that follows", 2*intentRefreshInterval + streamCallTimeout, intentTTL},
		{"a stream that begins at the end of an intent and may be resumed, and the removal of the intent", intentTTL + origin.Retention - 1, staleRowAge},
		{"hosts that forget a vanished version, and its removal", relay.CurrentTTL + gossip.MaxInterval, vanishedRemovalDelay},
		{"a message of each other host, and a host that counts as ready without one", gossip.MaxInterval, maxConfigWait},
		{"a list of targets that is followed, and one that may lack starts", relay.CurrentTTL, fleet.LateEntryTime},
		{"entries of KV cache after the last write of the row, and the life of the row", minConfirmedTime, minRowLifetime},
		{"the writes of a contender that fail, and the life of its row", (missedWrites - 1) * writeIntervalContender, minRowLifetime},
	} {
		NewWithT(t).Expect(c.shorter).To(BeNumerically("<", c.than), c.name)
	}
}
