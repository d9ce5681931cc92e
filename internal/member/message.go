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

// Bounds of the content of messages.
const (
	// MaxUpdates is the number of member updates in a heartbeat.
	MaxUpdates = 16
	// MaxLookupKeys is the number of keys in a lookup: 35 KB of its 64 KB.
	MaxLookupKeys = 1024
	// MaxSections is the number of sections that one call requests.
	MaxSections   = 64
	maxExtensions = 16
	maxNotesBytes = 4 << 10
)

// Heartbeat is sent to a few hosts each second; its reply has the same form.
type Heartbeat struct {
	From    Member   `cbor:"f"`
	Updates []Member `cbor:"u,omitempty"`
	// Parts are the encoded extensions by name.
	Parts map[string]cbor.RawMessage `cbor:"p,omitempty"`
}

// Check returns an error for content that no host sends.
func (h *Heartbeat) Check() error {
	if len(h.Updates) > MaxUpdates || len(h.Parts) > maxExtensions {
		return fmt.Errorf("heartbeat of %q has %d updates and %d parts; at most %d and %d are sent",
			h.From.Name, len(h.Updates), len(h.Parts), MaxUpdates, maxExtensions)
	}
	return checkMembers(append([]Member{h.From}, h.Updates...))
}

func (*Heartbeat) limit() int { return MaxHeartbeatBytes }

// ProbeRequest requests that the receiver sends a heartbeat to Member, on behalf of a
// host that got no answer from Member.
type ProbeRequest struct {
	Member Member `cbor:"m"`
}

// Check returns an error for content that no host sends.
func (r *ProbeRequest) Check() error { return r.Member.Check() }

func (*ProbeRequest) limit() int { return MaxHeartbeatBytes }

// ProbeReply reports whether the probed host has answered, with its record.
type ProbeReply struct {
	Reached bool     `cbor:"r"`
	Updates []Member `cbor:"u,omitempty"`
}

// Check returns an error for content that no host sends.
func (r *ProbeReply) Check() error { return checkMembers(r.Updates) }

func (*ProbeReply) limit() int { return MaxHeartbeatBytes }

// SyncRequest requests the whole table of a host, unless it has the same digest.
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
	// More is true if there are records after the last name.
	More bool `cbor:"n,omitempty"`
}

// Check returns an error for content that no host sends.
func (r *SyncReply) Check() error { return checkMembers(r.Members) }

func (*SyncReply) limit() int { return MaxMessageBytes }

// LookupRequest queries an index owner for the targets that hold KV blocks.
type LookupRequest struct {
	Keys []chain.Key `cbor:"k"`
}

// Check returns an error for content that no host sends.
func (r *LookupRequest) Check() error {
	if len(r.Keys) == 0 || len(r.Keys) > MaxLookupKeys {
		return fmt.Errorf("lookup has %d keys; give 1 to %d", len(r.Keys), MaxLookupKeys)
	}
	return nil
}

func (*LookupRequest) limit() int { return MaxMessageBytes }

// LookupReply lists the targets that hold leading KV blocks of the hash chain.
type LookupReply struct {
	Holders []index.Holder `cbor:"h"`
}

// Check returns an error for content that no host sends.
func (r *LookupReply) Check() error {
	if len(r.Holders) > MaxLookupKeys {
		return fmt.Errorf("lookup reply has %d holders; at most %d are sent", len(r.Holders), MaxLookupKeys)
	}
	for _, h := range r.Holders {
		if h.Target == "" || h.First < 0 || h.End <= h.First {
			return fmt.Errorf("lookup reply: target %q cannot hold blocks %d to %d", h.Target, h.First, h.End)
		}
	}
	return nil
}

func (*LookupReply) limit() int { return MaxMessageBytes }

// RecordRequest reports changes at a target to an index owner.
type RecordRequest struct {
	Record index.Record `cbor:"r"`
	// Inventory, if set, replaces all index entries of the target.
	Inventory *target.Inventory `cbor:"i,omitempty"`
	// Restarted is true if the target has restarted its event sequence: an inventory
	// with a lower sequence number is then not an older one.
	Restarted bool `cbor:"n,omitempty"`
}

// Check returns an error for content that no host sends.
func (r *RecordRequest) Check() error {
	if n := r.Record.Target; n == "" || len(n) > maxNameBytes {
		return fmt.Errorf("record needs a target name of 1 to %d bytes", maxNameBytes)
	}
	return nil
}

func (*RecordRequest) limit() int { return MaxRecordBytes }

// RecordReply confirms a record.
type RecordReply struct {
	// Suspect requests an inventory, because events are missing.
	Suspect bool `cbor:"s,omitempty"`
}

// Check accepts every reply.
func (*RecordReply) Check() error { return nil }

func (*RecordReply) limit() int { return MaxMessageBytes }

// FilterRequest requests the Bloom filter of the shard keys in a host's part of the
// index.
type FilterRequest struct{}

// Check accepts every request.
func (*FilterRequest) Check() error { return nil }

func (*FilterRequest) limit() int { return MaxMessageBytes }

// FilterReply carries the Bloom filter of a host's part of the index.
type FilterReply struct {
	Filter index.Filter `cbor:"f"`
}

// Check returns an error for a filter that no host sends.
func (r *FilterReply) Check() error { return r.Filter.Validate() }

func (*FilterReply) limit() int { return MaxRecordBytes }

// SectionRequest requests sections of a configuration document by hash.
type SectionRequest struct {
	Hashes []config.Hash `cbor:"h"`
}

// Check returns an error for content that no host sends.
func (r *SectionRequest) Check() error {
	if len(r.Hashes) == 0 || len(r.Hashes) > MaxSections {
		return fmt.Errorf("request for %d sections; give 1 to %d hashes", len(r.Hashes), MaxSections)
	}
	return nil
}

func (*SectionRequest) limit() int { return MaxMessageBytes }

// SectionReply holds the requested sections that the host has, as far as they fit
// into one message. The caller verifies each by its hash.
type SectionReply struct {
	Sections [][]byte `cbor:"s"`
}

// Check returns an error for content that no host sends.
func (r *SectionReply) Check() error {
	if len(r.Sections) > MaxSections {
		return fmt.Errorf("reply has %d sections; at most %d can be requested", len(r.Sections), MaxSections)
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

// HandoverRequest forwards a request to a host of another region.
type HandoverRequest struct {
	Request target.GenerateRequest `cbor:"r"`
	// Revision is the revision of the configuration document under which the model
	// version was chosen.
	Revision uint64 `cbor:"v"`
	// Left is the remaining time until the request's deadline. It is a duration
	// because the clocks of hosts differ.
	Left time.Duration `cbor:"l"`
	// Notes are annotations by name, which save the receiver work.
	Notes map[string]cbor.RawMessage `cbor:"n,omitempty"`
}

// Check returns an error for content that no host sends.
func (r *HandoverRequest) Check() error {
	q := &r.Request
	if q.Account == "" || q.Model == "" || q.Version == "" || len(q.Tokens) == 0 || q.MaxTokens <= 0 || r.Left <= 0 {
		return fmt.Errorf("a forwarded request needs an account, a model, a version, tokens, a token limit and time left")
	}
	size := 0
	for name, n := range r.Notes {
		size += len(name) + len(n)
	}
	if size > maxNotesBytes {
		return fmt.Errorf("a forwarded request has %d bytes of annotations; send at most %d", size, maxNotesBytes)
	}
	return nil
}

func (*HandoverRequest) limit() int { return MaxHandoverBytes }

// Refusal is the first reply to a forwarded request that the receiver rejects.
type Refusal struct {
	// Status is the HTTP status for the caller.
	Status int    `cbor:"s"`
	Reason string `cbor:"r"`
	// Unknown is true if a part of the request may have run.
	Unknown bool          `cbor:"u,omitempty"`
	Retry   time.Duration `cbor:"t,omitempty"`
}

// HandoverEvent is one reply to a forwarded request. The first holds the run ID or a
// refusal, each later one a chunk.
type HandoverEvent struct {
	Run     string        `cbor:"i,omitempty"`
	Refusal *Refusal      `cbor:"r,omitempty"`
	Chunk   *target.Chunk `cbor:"c,omitempty"`
}

// Check returns an error for content that no host sends.
func (e *HandoverEvent) Check() error {
	n := 0
	for _, set := range []bool{e.Run != "", e.Refusal != nil, e.Chunk != nil} {
		if set {
			n++
		}
	}
	if n != 1 {
		return fmt.Errorf("the reply to a forwarded request has %d contents; send a run ID, a refusal or a chunk", n)
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
