package origin

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxMessageGap is the longest time without a message of a host in which this one has missed
	// none of its records: messages reach all hosts within SettleTime.
	maxMessageGap = SettleTime
	// AnyHost stands for all other hosts where they are so many that each sends messages to a
	// few only.
	AnyHost = ""
)

// Contact records whether a host receives the messages of the others. One that stood still or
// was cut off has missed records of streams, so that it is no witness while these streams may
// be resumed. It is safe for concurrent use, and its zero value is ready to use.
type Contact struct {
	mu sync.Mutex
	// receivedAt holds the time of the last message by sender, or that from which messages of it
	// were expected.
	receivedAt map[string]time.Duration
	// sentAt holds the time at which the last message of each expected host was sent.
	sentAt map[string]time.Duration
	// gapAt is the time at which messages of a sender were last missing; zero if they never were.
	gapAt time.Duration
	// lastAt is the time of the last message of any host; zero before the first.
	lastAt time.Duration
}

// Received records a message of a host.
func (c *Contact) Received(host string, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastAt = now
	for _, sender := range []string{host, AnyHost} {
		if last, expected := c.receivedAt[sender]; expected {
			c.noteGap(last, now)
			c.receivedAt[sender] = now
		}
	}
}

// Sent records when a message of a host was sent, after the versions in it were observed.
func (c *Contact) Sent(host string, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, expected := c.receivedAt[host]; !expected {
		return
	}
	if c.sentAt == nil {
		c.sentAt = map[string]time.Duration{}
	}
	c.sentAt[host] = max(c.sentAt[host], at)
}

// Covers reports whether a host, which has ended since, can have begun streams only at versions
// that are in its messages: the last one was sent within EvidenceTTL.
func (c *Contact) Covers(host string, now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.sentAt[host]
	return ok && now-at < EvidenceTTL
}

// Expect sets the hosts whose messages are expected from now on. A host that is not expected any
// more may run on.
func (c *Contact) Expect(senders []string, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for sender, last := range c.receivedAt {
		c.noteGap(last, now)
		if !slices.Contains(senders, sender) {
			delete(c.receivedAt, sender)
			delete(c.sentAt, sender)
		}
	}
	for _, sender := range senders {
		if _, ok := c.receivedAt[sender]; ok {
			continue
		}
		if c.receivedAt == nil {
			c.receivedAt = map[string]time.Duration{}
		}
		c.receivedAt[sender] = now
	}
}

func (c *Contact) noteGap(last, now time.Duration) {
	if now-last > maxMessageGap {
		c.gapAt = now
	}
}

// Unbroken reports whether no messages were missing for as long as a stream may be resumed.
func (c *Contact) Unbroken(now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gapAt == 0 || now-c.gapAt >= Retention
}

// HasOthers reports whether another host has sent messages that may have begun a stream which may
// be resumed now. It may run on although it is not listed any more.
func (c *Contact) HasOthers(now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastAt != 0 && now-c.lastAt < Retention
}
