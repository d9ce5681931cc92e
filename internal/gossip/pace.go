package gossip

import "time"

// The shares of a link that in-flight load may use, where the rate of the link is configured:
// followers' replies, the updates of a hub and the replies of a hub. The constants in bytes
// per second hold for slower links and where it is not configured.
const (
	followerLinkShare  = 0.05
	hubUpdateLinkShare = 0.05
	hubReplyLinkShare  = 0.1
	bytesPerMbit       = 1e6 / 8
	// replyBurst is the time for which a hub may reply with load ahead of its rate, as its
	// followers query it at random times.
	replyBurst = 100 * time.Millisecond
)

// WithLink sets the rate of this host's link in megabits per second; zero if unknown.
func WithLink(mbps float64) Option { return func(e *Exchange) { e.linkMbps = mbps } }

// loadRate returns the bytes of in-flight load per second for a share of the link.
func (e *Exchange) loadRate(least int, share float64) int {
	return max(least, int(share*e.linkMbps*bytesPerMbit))
}

// pace bounds the bytes per second of messages with in-flight load.
type pace struct{ next time.Duration }

// ahead returns how far the messages are ahead of their rate.
func (p *pace) ahead(now time.Duration) time.Duration { return p.next - now }

// sent counts a message of some bytes.
func (p *pace) sent(bytes, bytesPerSecond int, now time.Duration) {
	p.next = max(p.next, now) + time.Duration(bytes)*time.Second/time.Duration(bytesPerSecond)
}
