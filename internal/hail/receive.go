package hail

import (
	"context"
	"net"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/wire"
)

// ofHub is the name under which what a hub says of all other hosts is noted, so
// that the word of another hub replaces it.
const ofHub = "\x00hub"

func (h *Hailer) receive(ctx context.Context, conn net.PacketConn) error {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return nil //nolint:nilerr // the end of ctx is the normal end
		}
		if err != nil {
			return errors.Trace(err)
		}
		var m Message
		if err := cbor.Unmarshal(buf[:n], &m); err != nil || m.Check() != nil {
			h.log.Debug("message of a host not usable", zap.Error(err))
			continue
		}
		if h.take(m, from.String(), n) {
			h.learn(m)
			h.changed()
		}
		if m.Kind == Question {
			h.write(conn, h.answer(m), from.String())
		}
	}
}

// take notes the flights of a message of some bytes. It returns false if the
// message is the answer of another hub than the one that was asked.
func (h *Hailer) take(m Message, from string, bytes int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch m.Kind {
	case Question:
		h.followers[m.Host] = wire.Boot()
		h.fleet.Told(m.Host, m.Flights, fleet.Follower)
	case News:
		if !m.Brief {
			h.fleet.Told(m.Host, m.Flights, h.teller())
		}
		if h.tables != nil && from == h.leader {
			h.tables.Announced(from, m.Tables)
		}
	case Answer:
		if !h.hubs.answered(from, h.tables != nil && len(m.Tables) == 0) {
			return false
		}
		if !m.Brief {
			h.fleet.Told(ofHub, m.Flights, fleet.Peer)
			h.spend(bytes, askBytes)
		}
		if h.tables != nil {
			h.tables.Announced(from, m.Tables)
		}
	}
	if m.Progress != nil {
		h.progress = heardProgress{Progress: m.Progress, at: wire.Boot(), below: m.Kind == Question}
	}
	return true
}

// teller returns what a host that sends its news is to this one. The caller holds
// mu.
func (h *Hailer) teller() fleet.Teller {
	if h.leader != "" {
		return fleet.Hub
	}
	return fleet.Peer
}

// learn takes over everything else that a message says.
func (h *Hailer) learn(m Message) {
	h.fleet.Suspect(m.Host, m.Down)
	if m.Confirmed && h.roster != nil {
		h.roster.Vouched()
	}
	if h.weights == nil {
		return
	}
	if m.Progress != nil {
		h.weights.Learn(*m.Progress)
	}
	for model, n := range m.Named {
		h.weights.Heard(m.Host, model, n)
	}
	for host, versions := range m.Known {
		for model, n := range versions {
			h.weights.Acknowledged(host, model, n)
		}
	}
}
