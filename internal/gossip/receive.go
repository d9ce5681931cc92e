package gossip

import (
	"context"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/safego"
	"sesamehill.example/sesamehill/internal/wire"
)

// hubLoadKey is the host name under which the load in a hub's reply is recorded.
// The reply of another hub replaces it.
const hubLoadKey = "\x00hub"

// queueBytes is the size of the queue of received datagrams, in which those wait that arrive while
// this host stands still. It holds those with streams that eight hosts send in origin.SettleTime,
// a gap which the host does not notice, unless the system allows less.
const queueBytes = 2 << 20

// listen returns a socket that receives datagrams at an address.
func listen(ctx context.Context, address string) (net.PacketConn, error) {
	var c net.ListenConfig
	conn, err := c.ListenPacket(ctx, "udp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if u, ok := conn.(*net.UDPConn); ok {
		_ = u.SetReadBuffer(queueBytes) // a smaller queue serves as well
	}
	return conn, nil
}

func (e *Exchange) receive(ctx context.Context, conn net.PacketConn) error {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return nil //nolint:nilerr // the end of ctx is the normal end
		}
		if err != nil {
			return errors.Trace(err)
		}
		safego.Do(e.log, "hail", func() { e.handle(conn, buf[:n], from.String()) })
	}
}

// handle applies a datagram, and replies to a query.
func (e *Exchange) handle(conn net.PacketConn, datagram []byte, from string) {
	m, err := decodeMessage(datagram)
	if err != nil {
		e.log.Debug("ignored an invalid message of another host", zap.Error(err))
		return
	}
	e.clock.RecordPeer(m.SentMs)
	delay := e.delay(m)
	m.addDelay(delay)
	m.dropUndated()
	e.recordOrigins(m, delay)
	if m.Kind == Streams {
		return
	}
	if e.recordLoad(m, from, len(datagram)) {
		e.recordSharedState(m, delay)
		e.recordConfig(m, from)
		e.onMessage()
	}
	if m.Kind == Query {
		e.sendReply(conn, m, from)
	}
}

// decodeMessage decodes and checks a datagram.
func decodeMessage(datagram []byte) (Message, error) {
	var m Message
	if err := cbor.Unmarshal(datagram, &m); err != nil {
		return m, errors.Trace(err)
	}
	return m, errors.Trace(m.Check())
}

// dropUndated drops what a message without the time of its sending would show to be current: it
// may have waited in the socket while this host was paused.
func (m *Message) dropUndated() {
	if m.SentMs == 0 {
		m.Tables, m.Registered = nil, false
	}
}

// delay returns how long ago a message was sent; zero if that is not known.
func (e *Exchange) delay(m Message) time.Duration {
	if m.SentMs == 0 {
		return 0
	}
	return e.clock.Since(m.SentMs)
}

// addDelay adds the time since the message was sent to the ages in it, and drops the
// progress of a rollout that is no longer recent.
func (m *Message) addDelay(d time.Duration) {
	if d > progressTTL {
		m.Progress = nil
	}
	ms := d.Milliseconds()
	for name, v := range m.Tables {
		v.AgeMs += ms
		m.Tables[name] = v
	}
	for model, v := range m.Desired {
		v.AgeMs += ms
		m.Desired[model] = v
	}
	for _, versions := range m.Software {
		for software := range versions {
			versions[software] += ms
		}
	}
	for _, limits := range []map[string]fleet.Limit{m.RateLimits, m.RefusalLimits} {
		for target, l := range limits {
			l.AgeMs += ms
			limits[target] = l
		}
	}
	for _, versions := range m.DesiredByHost {
		for model, v := range versions {
			v.AgeMs += ms
			versions[model] = v
		}
	}
}

// recordLoad records the in-flight load, table versions and progress of a message.
// It returns false if the message is a reply of another hub than the selected one.
func (e *Exchange) recordLoad(m Message, from string, bytes int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch m.Kind {
	case Query:
		e.followers[m.Host] = wire.BootTime()
		e.fleet.SetRemoteInFlight(m.Host, m.InFlight, fleet.Follower)
	case Update:
		if !m.OmitsLoad {
			e.fleet.SetRemoteInFlight(m.Host, m.InFlight, e.updateSenderRole())
		}
		if e.tables != nil && from == e.leader {
			e.tables.RecordVersions(from, m.Tables)
		}
	case Reply:
		if !e.hubs.recordReply(from, e.tables != nil && len(m.Tables) == 0) {
			return false
		}
		if !m.OmitsLoad {
			e.fleet.SetRemoteInFlight(hubLoadKey, m.InFlight, fleet.Peer)
			e.delayLoad(bytes, e.loadRate(followerLoadBytesPerSecond, followerLinkShare))
			e.busy = len(m.InFlight) > 0
		}
		if e.tables != nil {
			e.tables.RecordVersions(from, m.Tables)
		}
	}
	if m.Progress != nil {
		e.progress = receivedProgress{Progress: m.Progress, receivedAt: wire.BootTime(), fromFollower: m.Kind == Query}
	}
	return true
}

// updateSenderRole returns the role of the hosts that send updates to this one. The
// caller holds mu.
func (e *Exchange) updateSenderRole() fleet.SenderRole {
	if e.leader != "" {
		return fleet.Hub
	}
	return fleet.Peer
}

// recordConfig records the version of the operator configuration in force at the sender.
func (e *Exchange) recordConfig(m Message, from string) {
	if e.configs != nil {
		e.configs.RecordConfigVersion(from, m.Config)
	}
}

// maxMessageAge is the age up to which crash records in a message count. Hosts of an older
// build that have no response of the store state a time of another clock; the times of
// crashes that follow from it would spread, as hosts keep the earliest.
const maxMessageAge = time.Minute

// recordSharedState records the unreachable targets and the rate limits in a message, the
// registration of its sender, the crash records, the progress of the rollout and the
// desired weight versions.
func (e *Exchange) recordSharedState(m Message, delay time.Duration) {
	e.fleet.Suspect(m.Host, m.Unreachable)
	e.fleet.RecordRemoteRateLimits(m.RateLimits)
	e.fleet.RecordRemoteRefusalLimits(m.RefusalLimits)
	if m.Evacuated != nil && e.evacuated != nil {
		e.evacuated.RecordEvacuationView(m.Host, *m.Evacuated)
	}
	if m.Registered && e.roster != nil {
		e.roster.RecordRegisteredPeer(delay)
	}
	if e.crashes != nil && len(m.Crashes) > 0 && delay <= maxMessageAge {
		if err := e.crashes.Import(m.Crashes, time.Now().Add(-delay)); err != nil {
			e.log.Warn("crash records of another host are invalid", zap.String("from", m.Host), zap.Error(err))
		}
	}
	if e.weights == nil {
		return
	}
	if m.Progress != nil {
		e.weights.RecordProgress(*m.Progress)
	}
	for model, v := range m.Desired {
		e.weights.RecordDesired(m.Host, model, v)
	}
	for model, versions := range m.Replaced {
		for _, v := range versions {
			e.weights.RecordReplaced(m.Host, model, v)
		}
	}
	for host, versions := range m.DesiredByHost {
		for model, v := range versions {
			e.weights.RecordRelayedDesired(host, model, v)
		}
	}
}
