package caller

import (
	"cmp"
	"slices"
	"time"
)

// Phase is the state of a connection.
type Phase int32

// Phases of a connection.
const (
	// Opened is a connection on which no byte was received yet.
	Opened Phase = iota
	// Idle is a connection whose last request was answered.
	Idle
	// Head and Body are the phases in which a request is received.
	Head
	Body
	// Received is the phase from the receipt of a whole request until its answer was sent.
	Received
	// Hijacked is a connection that has been handed to its handler.
	Hijacked
	// Closed is a connection that the guard has closed.
	Closed
)

// Limits are the limits of a Guard. Zero means no limit.
type Limits struct {
	// HeaderBytes is the largest head of a request, as sent.
	HeaderBytes int
	// HeaderTime, BodyTime and IdleTime bound the phases of a connection. A handler may set
	// another time for a body with LimitBody.
	HeaderTime, BodyTime, IdleTime time.Duration
	// WriteTime bounds the time in which a caller takes a piece of maxWriteBytes.
	WriteTime time.Duration
	// Bytes and Conns are the budget of all connections together.
	Bytes int64
	Conns int
	// StallTime is the time without progress after which a connection may be closed for
	// others.
	StallTime time.Duration
}

const (
	// connBytes is the memory of a connection without a request: buffers and a stack.
	connBytes = 12 << 10
	// fieldBytes is the memory of a field of a head: an entry of the map of headers and of
	// the copy that is forwarded, with the name and the value.
	fieldBytes = 192
	// headByteCost is the memory for each byte of a head: buffers of the parser and values.
	headByteCost = 2
	// progressBytes is how much a caller has to send within StallTime to make progress. A
	// legal request that is sent more slowly can meet a limit only when the budget is used
	// up.
	progressBytes = 512
	// unreadStallTime is the time after which a caller that has not taken a piece of
	// maxWriteBytes of its answer may be closed for others.
	unreadStallTime = 5 * time.Second
)

// Holding is what a connection holds at one moment.
type Holding struct {
	Phase Phase
	// Order is the rank of the connection by the time of its accept.
	Order uint64
	Bytes int64
	// InPhase is the time since the begin of the phase, Stalled the time since the last
	// progress and Writing the time since the begin of the current write; zero if there is
	// none.
	InPhase, Stalled, Writing time.Duration
	// BodyTime replaces the limit for the body; zero if there is none.
	BodyTime time.Duration
}

// exceeds reports whether a duration exceeds a limit.
func exceeds(d, limit time.Duration) bool { return limit > 0 && d > limit }

// Exceeded returns the limit of time that a connection exceeds; empty if it exceeds none.
func (l Limits) Exceeded(h Holding) string {
	bodyTime := l.BodyTime
	if h.BodyTime > 0 {
		bodyTime = h.BodyTime
	}
	switch {
	case (h.Phase == Idle || h.Phase == Opened) && exceeds(h.InPhase, l.IdleTime):
		return "idle"
	case h.Phase == Head && exceeds(h.InPhase, l.HeaderTime):
		return "head"
	case h.Phase == Body && exceeds(h.InPhase, bodyTime):
		return "body"
	case h.Phase == Received && exceeds(h.Writing, l.WriteTime):
		return "unread"
	}
	return ""
}

// Need is what a guard needs to free by closing connections.
type Need struct {
	Bytes int64
	Conns int
	// Bodies limits the choice to connections whose body is being received.
	Bodies bool
}

// closable reports whether a connection may be closed for others.
func (l Limits) closable(h Holding, n Need) bool {
	switch h.Phase {
	case Body:
		return h.Stalled >= l.StallTime
	case Opened, Head:
		return !n.Bodies && h.Stalled >= l.StallTime
	case Idle:
		return !n.Bodies && h.InPhase >= l.StallTime
	case Received:
		return !n.Bodies && h.Writing >= unreadStallTime
	default:
		return false
	}
}

// ToClose returns the indexes of the connections to close, in this order: those with the
// largest product of bytes and time without progress, then idle ones, largest product of bytes
// and idle time first. They may free less than is needed.
func (l Limits) ToClose(holdings []Holding, n Need) []int {
	var candidates []int
	for i, h := range holdings {
		if l.closable(h, n) {
			candidates = append(candidates, i)
		}
	}
	slices.SortFunc(candidates, func(a, b int) int { return compareCloseOrder(holdings[a], holdings[b]) })
	for i, c := range candidates {
		if n.Bytes <= 0 && n.Conns <= 0 {
			return candidates[:i]
		}
		n.Bytes -= holdings[c].Bytes
		n.Conns--
	}
	return candidates
}

// compareCloseOrder orders connections; the first one is closed first.
func compareCloseOrder(a, b Holding) int {
	if aIdle, bIdle := a.Phase == Idle, b.Phase == Idle; aIdle != bIdle {
		if bIdle {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.weight(), a.weight()), cmp.Compare(a.Order, b.Order))
}

// weight is what a connection holds times the time for which it does.
func (h Holding) weight() float64 {
	held := h.Stalled
	if h.Phase == Idle {
		held = h.InPhase
	}
	return float64(h.Bytes) * held.Seconds()
}
