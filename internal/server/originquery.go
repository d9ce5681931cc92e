package server

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/origin"
	"sesamehill.example/sesamehill/internal/safego"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// originPath is the path of queries for the software version that began a stream.
	originPath = "/origin"
	// originOwners is the number of hosts that remember a stream, where hosts are many.
	originOwners = 3
	// minWitnesses is the number of owners without a record that show that none was kept.
	minWitnesses = 2
	// originQueryTimeout bounds a query for the origin of a stream.
	originQueryTimeout = 300 * time.Millisecond
	// otherAnswersWait is how long the other hosts may still state a record after one has
	// shown that there is one version only. It exceeds a round trip between regions.
	otherAnswersWait = 60 * time.Millisecond
)

// originQuery is a query for the origin of a stream.
type originQuery struct {
	Key origin.Key `cbor:"1,keyasint"`
	// Service is the service of the stream; empty from hosts of an older build.
	Service string `cbor:"2,keyasint,omitempty"`
}

// originReply holds the origin of a stream if the host has a record of it.
type originReply struct {
	Known  bool          `cbor:"1,keyasint,omitempty"`
	Origin origin.Origin `cbor:"2,keyasint"`
	// Witness is set if the host has received the records of all streams of the service that
	// it was to receive. Answered tells a reply from a failed query.
	Witness  bool `cbor:"3,keyasint,omitempty"`
	Answered bool `cbor:"-"`
	// Ended is set after a query that was refused, as the process of the host has ended, if the
	// host can have begun no stream at a version that is not in its messages.
	Ended bool `cbor:"-"`
	// Single is the software version of the service if the host has observed one only; empty if
	// there are several, or from hosts of an older build. Covered is set if no other one can
	// have begun a stream before the reply.
	Single  string `cbor:"4,keyasint,omitempty"`
	Covered bool   `cbor:"5,keyasint,omitempty"`
	// Software holds the versions of the service if there are several.
	Software origin.Sightings `cbor:"6,keyasint,omitempty"`
	// StartedAtMs is the start of the process, in Unix milliseconds; zero from hosts of an older
	// build. Host is the name of the host that was queried.
	StartedAtMs int64  `cbor:"7,keyasint,omitempty"`
	Host        string `cbor:"-"`
}

// observeAnswers records the software versions of a service that other hosts have stated.
func (s *streamOrigins) observeAnswers(service string, a originAnswers) {
	for _, r := range a.replies {
		seen := r.Software
		if r.Single != "" {
			seen = origin.Sightings{service: {r.Single: 0}}
		}
		if len(seen) > 0 {
			s.registry.ObserveRemote(seen, wire.BootTime())
		}
	}
}

// originAnswers are the answers of other hosts to a query for the origin of a stream.
type originAnswers struct {
	replies []originReply
	// fromAll is set if all other hosts were queried and each one answered or has ended.
	fromAll bool
}

// record returns the origin in the answer of a host that has a record.
func (a originAnswers) record() (origin.Origin, bool) {
	for _, r := range a.replies {
		if r.Known {
			return r.Origin, true
		}
	}
	return origin.Origin{}, false
}

// includes reports whether a process has answered.
func (a originAnswers) includes(w streamWriter) bool {
	return slices.ContainsFunc(a.replies, func(r originReply) bool { return r.Host == w.Host && r.StartedAtMs == w.StartedAtMs })
}

// conclusive reports whether a host has answered that there is one version only.
func (a originAnswers) conclusive() bool {
	return slices.ContainsFunc(a.replies, func(r originReply) bool { return r.Covered && r.Single != "" })
}

// queryOwners queries the owners of a stream for its origin and returns their answers, as soon as
// one has a record. It does not wait long for the others once one has shown that there is one
// version only.
func (s *streamOrigins) queryOwners(ctx context.Context, service string, key origin.Key) originAnswers {
	owners := s.host.members.owners(key)
	ctx, cancel := context.WithTimeout(ctx, originQueryTimeout)
	defer cancel()
	replies := make(chan originReply, len(owners))
	for _, owner := range owners {
		go safego.Do(s.host.log, "origin query", func() { replies <- s.queryOrigin(ctx, owner, originQuery{Key: key, Service: service}) })
	}
	answers := originAnswers{fromAll: len(owners) > 0 && len(owners) == len(s.host.members.others())}
	var enough <-chan time.Time
	for range owners {
		select {
		case r := <-replies:
			answers.fromAll = answers.fromAll && (r.Answered || r.Ended)
			if !r.Answered {
				continue
			}
			answers.replies = append(answers.replies, r)
			if r.Known {
				return answers
			}
			if enough == nil && answers.conclusive() {
				enough = time.After(otherAnswersWait)
			}
			continue
		case <-enough:
		case <-ctx.Done():
		}
		answers.fromAll = false
		return answers
	}
	return answers
}

// queryOrigin queries another host for the origin of a stream.
func (s *streamOrigins) queryOrigin(ctx context.Context, owner observedRow, q originQuery) (r originReply) {
	err := s.host.peerClient.call(ctx, owner.Peer, originPath, q, &r)
	if err != nil && ctx.Err() == nil {
		s.host.log.Debug("origin of a stream not received", zap.String("peer", owner.Peer), zap.Error(err))
	}
	r.Answered, r.Host = err == nil, owner.Host
	r.Ended = errors.Is(err, syscall.ECONNREFUSED) && s.contact.Covers(owner.Host, wire.BootTime())
	return r
}

// absentFrom reports whether answers without a record show that none was kept. Where hosts
// are few, each receives all records, and one witness is enough; a host that gets no answer
// may be cut off from the others. Elsewhere two of the owners have to be witnesses.
func (s *streamOrigins) absentFrom(service string, answers originAnswers) bool {
	witnesses := 0
	for _, r := range answers.replies {
		if r.Witness {
			witnesses++
		}
	}
	others := len(s.host.members.others())
	if others >= maxDirectHosts {
		return witnesses >= minWitnesses
	}
	if s.isWitness(service) {
		witnesses++
	}
	return witnesses > 0 && (len(answers.replies) > 0 || s.alone())
}

// serveOrigin answers queries for the origin of a stream.
func (h *Host) serveOrigin(w http.ResponseWriter, r *http.Request) {
	var q originQuery
	if readQuery(w, r, &q) {
		writeReply(w, h.origins.reply(q))
	}
}

// reply returns the answer to a query of another host.
func (s *streamOrigins) reply(q originQuery) originReply {
	o, known := s.registry.Find(q.Key)
	r := originReply{Known: known, Origin: o, Witness: s.isWitness(q.Service), StartedAtMs: s.host.members.startedAtMs}
	if s.versions.wasReceived() {
		s.observe()
		r.Single, r.Covered = s.registry.KnownVersion(q.Service, wire.BootTime())
	}
	if seen, several := s.registry.Sightings(wire.BootTime())[q.Service]; several {
		r.Software = origin.Sightings{q.Service: seen}
	}
	return r
}
