package gossip

import (
	"context"
	"fmt"
	"net"
	"time"

	"sesamehill.example/sesamehill/internal/origin"
)

const (
	// maxStreamsPerDatagram keeps a datagram with streams below the usual size of a packet.
	maxStreamsPerDatagram = 120
	// maxVersions bounds the software versions of a service in a message, maxNameBytes the
	// names of services and versions.
	maxVersions  = 64
	maxNameBytes = 200
)

// sendStreams sends the streams that begin at this host until ctx ends.
func (e *Exchange) sendStreams(ctx context.Context, conn net.PacketConn) {
	for ctx.Err() == nil {
		for address, begun := range e.origins.Outgoing(ctx) {
			for _, part := range splitBegun(begun) {
				e.write(conn, Message{Host: e.host, Kind: Streams, OmitsLoad: true, Begun: part}, address)
			}
		}
	}
}

// splitBegun divides streams into parts for one datagram each.
func splitBegun(begun []origin.Begun) [][]origin.Begun {
	var parts [][]origin.Begun
	room := 0
	for _, b := range begun {
		for len(b.Keys) > 0 {
			if room == 0 {
				parts, room = append(parts, nil), maxStreamsPerDatagram
			}
			n := min(room, len(b.Keys))
			last := len(parts) - 1
			parts[last] = append(parts[last], origin.Begun{Origin: b.Origin, Keys: b.Keys[:n]})
			b.Keys, room = b.Keys[n:], room-n
		}
	}
	return parts
}

// recordOrigins records the software versions that another host has seen, and the streams
// that began there. A message with streams states no versions.
func (e *Exchange) recordOrigins(m Message, delay time.Duration) {
	if e.origins == nil {
		return
	}
	if m.Kind != Streams {
		e.origins.RecordSightings(m.Host, delay, m.SentMs != 0, m.Software)
	}
	if len(m.Begun) > 0 {
		e.origins.RecordBegun(m.Begun)
	}
}

// originsOutOfRange returns what of the software versions and streams of a message no host
// sends; an empty text if there is nothing.
func (m Message) originsOutOfRange() string {
	for service, versions := range m.Software {
		if len(service) > maxNameBytes || len(versions) > maxVersions {
			return "a service has too long a name or too many software versions"
		}
		for software, age := range versions {
			if len(software) > maxNameBytes || !ageInRange(age) {
				return fmt.Sprintf("a software version of service %q is out of range", service)
			}
		}
	}
	for _, b := range m.Begun {
		if len(b.Origin.Service) > maxNameBytes || len(b.Origin.Software) > maxNameBytes {
			return "the origin of a stream has too long a name"
		}
	}
	return ""
}
