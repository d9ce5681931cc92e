package server

import (
	"sesamehill.example/sesamehill/internal/origin"
	"sesamehill.example/sesamehill/internal/wire"
)

// expectMessages updates the hosts whose messages this one should receive: all others where
// hosts are few; elsewhere hubs, and the followers of a hub, which change.
func (s *streamOrigins) expectMessages() {
	others := s.host.members.others()
	var senders []string
	if len(others) >= maxDirectHosts {
		senders = []string{origin.AnyHost}
	} else {
		for _, h := range others {
			senders = append(senders, h.Host)
		}
	}
	s.contact.Expect(senders, wire.BootTime())
}

// isWitness reports whether this host has received the records of all streams of a service
// that began at other versions than the base, if it was to receive them. A host that has
// missed messages while such a stream may have begun has not.
func (s *streamOrigins) isWitness(service string) bool {
	s.expectMessages()
	return s.registry.IsWitness(service) && s.contact.Unbroken(wire.BootTime())
}

// alone reports whether this host is the only one that can have begun streams. A host that it does
// not know of has either sent messages, as it could not write its row, or has started while this
// one could not read the list of targets.
func (s *streamOrigins) alone() bool {
	s.observe()
	return s.host.members.alone() && !s.contact.HasOthers(wire.BootTime()) && !s.listIsOld()
}
