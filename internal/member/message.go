package member

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sesamehill.example/sesamehill/internal/index"
	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/chain"
	"sesamehill.example/sesamehill/pkg/config"
)

// Bounds of the number of entries in messages.
const (
	// MaxUpdates is the number of member updates in a heartbeat.
	MaxUpdates = 16
	// MaxLookupKeys is the number of keys in a lookup: 35 KB of its 64 KB.
	MaxLookupKeys = 1024
	// MaxSections is the number of sections that one call asks for.
	MaxSections   = 64
	maxParts      = 16
	maxNotesBytes = 4 << 10
)

// Heartbeat is sent to a few hosts each second; its reply has the same form.
type Heartbeat struct {
	From    Member   `cbor:"f"`
	Updates []Member `cbor:"u,omitempty"`
	// Parts are the encoded extensions by name.
	Parts map[string]cbor.RawMessage `cbor:"p,omitempty"`
}

// Check reports content that no host sends.
func (h *Heartbeat) Check() error {
	if len(h.Updates) > MaxUpdates || len(h.Parts) > maxParts {
		return fmt.Errorf("heartbeat of %q has %d updates and %d parts; at most %d and %d are sent",
			h.From.Name, len(h.Updates), len(h.Parts), MaxUpdates, maxParts)
	}
	return checkMembers(append([]Member{h.From}, h.Updates...))
}

func (*Heartbeat) limit() int { return MaxHeartbeatBytes }

// ProbeRequest asks a host to send a heartbeat to another one, on behalf of a
// host that gets no answer from it.
type ProbeRequest struct {
	Member Member `cbor:"m"`
}

// Check reports content that no host sends.
func (r *ProbeRequest) Check() error { return r.Member.Check() }

func (*ProbeRequest) limit() int { return MaxHeartbeatBytes }

// ProbeReply tells whether the probed host has answered, and its record.
type ProbeReply struct {
	Reached bool     `cbor:"r"`
	Updates []Member `cbor:"u,omitempty"`
}

// Check reports content that no host sends.
func (r *ProbeReply) Check() error { return checkMembers(r.Updates) }

func (*ProbeReply) limit() int { return MaxHeartbeatBytes }

// SyncRequest asks for a host's whole table, unless its digest is the same.
type SyncRequest struct {
	Digest uint64 `cbor:"d"`
	// After is the name after which to continue.
	After string `cbor:"a,omitempty"`
}

// Check accepts every request.
func (*SyncRequest) Check() error { return nil }

func (*SyncRequest) limit() int { return MaxMessageBytes }

// SyncReply holds records in order of name.
type SyncReply struct {
	Members []Member `cbor:"m,omitempty"`
	// More tells that records follow after the last name.
	More bool `cbor:"n,omitempty"`
}

// Check reports content that no host sends.
func (r *SyncReply) Check() error { return checkMembers(r.Members) }

func (*SyncReply) limit() int { return MaxMessageBytes }

// LookupRequest asks an index owner where pieces are stored.
type LookupRequest struct {
	Keys []chain.Key `cbor:"k"`
}

// Check reports content that no host sends.
func (r *LookupRequest) Check() error {
	if len(r.Keys) == 0 || len(r.Keys) > MaxLookupKeys {
		return fmt.Errorf("lookup has %d keys; give 1 to %d", len(r.Keys), MaxLookupKeys)
	}
	return nil
}

func (*LookupRequest) limit() int { return MaxMessageBytes }

// LookupReply names the targets that hold leading pieces of the chain.
type LookupReply struct {
	Holders []index.Holder `cbor:"h"`
}

// Check reports content that no host sends.
func (r *LookupReply) Check() error {
	if len(r.Holders) > MaxLookupKeys {
		return fmt.Errorf("lookup reply has %d holders; at most %d are sent", len(r.Holders), MaxLookupKeys)
	}
	for _, h := range r.Holders {
		if h.Target == "" || h.First < 0 || h.End <= h.First {
			return fmt.Errorf("lookup reply: target %q cannot hold pieces %d to %d", h.Target, h.First, h.End)
		}
	}
	return nil
}

func (*LookupReply) limit() int { return MaxMessageBytes }

// RecordRequest tells an index owner what changed at a target.
type RecordRequest struct {
	Record index.Record `cbor:"r"`
	// Inventory, if set, replaces all that is known of the target.
	Inventory *target.Inventory `cbor:"i,omitempty"`
	// Restarted tells that the target counts its events anew, so that an inventory
	// with a lower sequence number is not an older one.
	Restarted bool `cbor:"n,omitempty"`
}

// Check reports content that no host sends.
func (r *RecordRequest) Check() error {
	if n := r.Record.Target; n == "" || len(n) > maxNameBytes {
		return fmt.Errorf("record needs a target name of 1 to %d bytes", maxNameBytes)
	}
	return nil
}

func (*RecordRequest) limit() int { return MaxRecordBytes }

// RecordReply confirms a record.
type RecordReply struct {
	// Suspect asks for an inventory, because events are missing.
	Suspect bool `cbor:"s,omitempty"`
}

// Check accepts every reply.
func (*RecordReply) Check() error { return nil }

func (*RecordReply) limit() int { return MaxMessageBytes }

// FilterRequest asks a host which chains its part of the index may hold.
type FilterRequest struct{}

// Check accepts every request.
func (*FilterRequest) Check() error { return nil }

func (*FilterRequest) limit() int { return MaxMessageBytes }

// FilterReply is the filter of a host's part of the index.
type FilterReply struct {
	Filter index.Filter `cbor:"f"`
}

// Check reports a filter that no host sends.
func (r *FilterReply) Check() error { return r.Filter.Validate() }

func (*FilterReply) limit() int { return MaxRecordBytes }

// SectionRequest asks for sections of a document by hash.
type SectionRequest struct {
	Hashes []config.Hash `cbor:"h"`
}

// Check reports content that no host sends.
func (r *SectionRequest) Check() error {
	if len(r.Hashes) == 0 || len(r.Hashes) > MaxSections {
		return fmt.Errorf("request for %d sections; give 1 to %d hashes", len(r.Hashes), MaxSections)
	}
	return nil
}

func (*SectionRequest) limit() int { return MaxMessageBytes }

// SectionReply holds those of the sections that the host has, as far as they fit
// into one message. The caller verifies each by its hash.
type SectionReply struct {
	Sections [][]byte `cbor:"s"`
}

// Check reports content that no host sends.
func (r *SectionReply) Check() error {
	if len(r.Sections) > MaxSections {
		return fmt.Errorf("reply has %d sections; at most %d are asked for", len(r.Sections), MaxSections)
	}
	return nil
}

func (*SectionReply) limit() int { return MaxMessageBytes }

// Add adds a section if it fits.
func (r *SectionReply) Add(data []byte) bool {
	size := 16
	for _, s := range r.Sections {
		size += len(s) + 4
	}
	if len(r.Sections) == MaxSections || size+len(data)+4 > MaxMessageBytes {
		return false
	}
	r.Sections = append(r.Sections, data)
	return true
}

// HandoverRequest passes a request to a host of another region.
type HandoverRequest struct {
	Request target.GenerateRequest `cbor:"r"`
	// Revision is the document revision under which the version was chosen.
	Revision uint64 `cbor:"v"`
	// Left is the time until the request's deadline. It is a duration because
	// the clocks of hosts differ.
	Left time.Duration `cbor:"l"`
	// Notes are annotations by name that spare the receiver work.
	Notes map[string]cbor.RawMessage `cbor:"n,omitempty"`
}

// Check reports content that no host sends.
func (r *HandoverRequest) Check() error {
	q := &r.Request
	if q.Account == "" || q.Model == "" || q.Version == "" || len(q.Tokens) == 0 || q.MaxTokens <= 0 || r.Left <= 0 {
		return fmt.Errorf("handover needs an account, a model, a version, tokens, a token limit and time left")
	}
	size := 0
	for name, n := range r.Notes {
		size += len(name) + len(n)
	}
	if size > maxNotesBytes {
		return fmt.Errorf("handover has %d bytes of notes; give at most %d", size, maxNotesBytes)
	}
	return nil
}

func (*HandoverRequest) limit() int { return MaxHandoverBytes }

// Refusal is the first reply to a handover that does not run.
type Refusal struct {
	// Status is the HTTP status for the caller.
	Status int    `cbor:"s"`
	Reason string `cbor:"r"`
	// Unknown tells that something of the request may have run.
	Unknown bool          `cbor:"u,omitempty"`
	Retry   time.Duration `cbor:"t,omitempty"`
}

// HandoverEvent is one reply to a handover. The first holds the run ID or a
// refusal, each later one a chunk.
type HandoverEvent struct {
	Run     string        `cbor:"i,omitempty"`
	Refusal *Refusal      `cbor:"r,omitempty"`
	Chunk   *target.Chunk `cbor:"c,omitempty"`
}

// Check reports content that no host sends.
func (e *HandoverEvent) Check() error {
	n := 0
	for _, set := range []bool{e.Run != "", e.Refusal != nil, e.Chunk != nil} {
		if set {
			n++
		}
	}
	if n != 1 {
		return fmt.Errorf("handover reply has %d contents; give a run ID, a refusal or a chunk", n)
	}
	return nil
}

func (*HandoverEvent) limit() int { return MaxMessageBytes }

func checkMembers(members []Member) error {
	for _, m := range members {
		if err := m.Check(); err != nil {
			return err
		}
	}
	return nil
}
