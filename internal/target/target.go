package target

import (
	"context"
	"time"

	"sesamehill.example/sesamehill/pkg/chain"
)

// Engine is a model worker.
type Engine interface {
	// Cancel ends a run and frees its resources.
	Cancel(ctx context.Context, attempt string) error
	// Events returns cache events with a sequence number above after.
	Events(ctx context.Context, after uint64) (EventBatch, error)
	// Export copies resident KV blocks to a store. The engine writes and commits
	// them.
	Export(ctx context.Context, o ExportOrder) (ExportResult, error)
	// Generate starts a run.
	Generate(ctx context.Context, r GenerateRequest) (Stream, error)
	// Import copies a pinned KV block from a store into the engine's cache.
	Import(ctx context.Context, o ImportOrder) error
	// Inventory returns all resident KV blocks.
	Inventory(ctx context.Context) (Inventory, error)
	// Load returns the latest load report.
	Load(ctx context.Context) (LoadReport, error)
	// Order sets the desired state of the engine's weights and role.
	Order(ctx context.Context, o Order) (OrderResult, error)
	// Resume streams a run of the account, starting at a token offset.
	Resume(ctx context.Context, account, attempt string, offset int) (Stream, error)
}

// Stream is the stream of chunks of a run.
type Stream interface {
	// Next returns the next chunk. It returns io.EOF only after a chunk with
	// Done set. A stream that fails earlier returns another error.
	Next() (Chunk, error)
	Close() error
}

// Store stores KV cache in memory and on disk.
type Store interface {
	// Free removes a generation of a KV block. It returns a *PinnedError if the
	// block is pinned.
	Free(ctx context.Context, key chain.Key, generation uint64) error
	// List returns the committed KV blocks.
	List(ctx context.Context) ([]StoredBlock, error)
	// Pin prevents a committed generation of a KV block from being freed until the
	// time to live expires.
	Pin(ctx context.Context, key chain.Key, ttl time.Duration) (Pin, error)
	Unpin(ctx context.Context, key chain.Key, id string) error
	Usage(ctx context.Context) (Usage, error)
}

// Service is a plain service.
type Service interface {
	Call(ctx context.Context, c Call) (Answer, error)
}

// GenerateRequest is the request that starts a run.
type GenerateRequest struct {
	Attempt  string      `json:"attempt" cbor:"attempt"`
	Account  string      `json:"account" cbor:"account"`
	Model    string      `json:"model" cbor:"model"`
	Version  string      `json:"version" cbor:"version"`
	Adapter  string      `json:"adapter,omitempty" cbor:"adapter,omitempty"`
	Tokens   []uint32    `json:"tokens" cbor:"tokens"`
	Keys     []chain.Key `json:"keys,omitempty" cbor:"keys,omitempty"`
	Priority int         `json:"priority,omitempty" cbor:"priority,omitempty"`
	// MaxTokens is the largest number of tokens to generate, counted from the start
	// of the output.
	MaxTokens int `json:"max" cbor:"max"`
	// Emitted are the tokens that an earlier attempt of the same run has
	// already delivered. The run continues after them.
	Emitted []uint32 `json:"emitted,omitempty" cbor:"emitted,omitempty"`
	// Software is the version of the software that emitted them. An engine of another
	// version does not continue the run; empty for any.
	Software string `json:"software,omitempty" cbor:"software,omitempty"`
}

// Chunk is one event of a stream.
type Chunk struct {
	Attempt string `json:"attempt" cbor:"attempt"`
	Version string `json:"version" cbor:"version"`
	// Software is the version of the engine's software; empty if it states none.
	Software string `json:"software,omitempty" cbor:"software,omitempty"`
	// Offset is the index of the token in the output.
	Offset int    `json:"offset" cbor:"offset"`
	Token  uint32 `json:"token" cbor:"token"`
	Text   string `json:"text" cbor:"text"`
	// Done marks the end of a complete output. A chunk with Done set has no token.
	Done   bool      `json:"done,omitempty" cbor:"done,omitempty"`
	Reason string    `json:"reason,omitempty" cbor:"reason,omitempty"`
	Usage  *RunUsage `json:"usage,omitempty" cbor:"usage,omitempty"`
}

// RunUsage counts the tokens of a run.
type RunUsage struct {
	Prompt int `json:"prompt" cbor:"prompt"`
	// CachedTokens is the number of prompt tokens that were not recomputed.
	CachedTokens    int `json:"cached" cbor:"cached"`
	GeneratedTokens int `json:"generated" cbor:"generated"`
}

// LoadReport is a load report of an engine.
type LoadReport struct {
	Target     string    `json:"target" cbor:"target"`
	ReportedAt time.Time `json:"at" cbor:"at"`
	Models     []Loaded  `json:"models" cbor:"models"`
	Role       string    `json:"role,omitempty" cbor:"role,omitempty"`
	// Running and Waiting count runs. Tokens counts the prompt tokens that
	// wait for prefill.
	Running int `json:"running" cbor:"running"`
	Waiting int `json:"waiting" cbor:"waiting"`
	Tokens  int `json:"tokens" cbor:"tokens"`
	// PrefillRate and DecodeRate are in tokens per second.
	PrefillRate float64 `json:"prefill" cbor:"prefill"`
	DecodeRate  float64 `json:"decode" cbor:"decode"`
	// FreeBlocks is the number of KV blocks that fit without an eviction.
	FreeBlocks int  `json:"free" cbor:"free"`
	Loading    bool `json:"loading,omitempty" cbor:"loading,omitempty"`
	// FencingToken is the highest fencing token that the engine has accepted.
	FencingToken uint64 `json:"fence,omitempty" cbor:"fence,omitempty"`
}

// Loaded is a model version that an engine holds.
type Loaded struct {
	Model    string   `json:"model" cbor:"model"`
	Version  string   `json:"version" cbor:"version"`
	Adapters []string `json:"adapters,omitempty" cbor:"adapters,omitempty"`
}

// EventKind states what happened to a KV block in an engine's cache.
type EventKind string

// Kinds of cache events.
const (
	BlockStored      EventKind = "stored"
	BlockRemoved     EventKind = "removed"
	AllBlocksCleared EventKind = "cleared"
)

// Event is a cache event.
type Event struct {
	Sequence uint64    `json:"seq" cbor:"seq"`
	Kind     EventKind `json:"kind" cbor:"kind"`
	Key      chain.Key `json:"key,omitzero" cbor:"key,omitzero"`
	// ShardKey is the key of the first KV block in the hash chain.
	ShardKey chain.Key `json:"first,omitzero" cbor:"first,omitzero"`
}

// EventBatch is a sequence of cache events. Lost events are visible as gaps in
// the sequence numbers.
type EventBatch struct {
	Events []Event `json:"events" cbor:"events"`
	// LastSequence is the engine's latest sequence number.
	LastSequence uint64 `json:"last" cbor:"last"`
}

// Inventory lists the resident KV blocks of an engine as of a sequence number.
type Inventory struct {
	Sequence uint64          `json:"seq" cbor:"seq"`
	Blocks   []ResidentBlock `json:"pieces" cbor:"pieces"`
}

// ResidentBlock is a KV block in an engine's cache.
type ResidentBlock struct {
	Key      chain.Key `json:"key" cbor:"key"`
	ShardKey chain.Key `json:"first" cbor:"first"`
}

// StoredBlock is a committed KV block in a store.
type StoredBlock struct {
	Key        chain.Key `json:"key" cbor:"key"`
	ShardKey   chain.Key `json:"first" cbor:"first"`
	Account    string    `json:"account" cbor:"account"`
	Generation uint64    `json:"generation" cbor:"generation"`
	Length     int64     `json:"length" cbor:"length"`
	Checksum   string    `json:"checksum" cbor:"checksum"`
	Pins       int       `json:"pins,omitempty" cbor:"pins,omitempty"`
}

// Pin prevents one committed generation of a KV block from being freed.
type Pin struct {
	ID         string    `json:"id" cbor:"id"`
	Generation uint64    `json:"generation" cbor:"generation"`
	Length     int64     `json:"length" cbor:"length"`
	Checksum   string    `json:"checksum" cbor:"checksum"`
	Expires    time.Time `json:"expires" cbor:"expires"`
}

// Usage is the used and total capacity of a store in bytes.
type Usage struct {
	Used     int64 `json:"used" cbor:"used"`
	Capacity int64 `json:"capacity" cbor:"capacity"`
}

// ExportOrder tells an engine to copy resident KV blocks to a store.
type ExportOrder struct {
	Store    string      `json:"store" cbor:"store"`
	Account  string      `json:"account" cbor:"account"`
	ShardKey chain.Key   `json:"first" cbor:"first"`
	Keys     []chain.Key `json:"keys" cbor:"keys"`
}

// ExportResult lists the KV blocks that were committed at the store.
type ExportResult struct {
	Committed []chain.Key `json:"sealed" cbor:"sealed"`
	// Refused states why the other KV blocks were not committed.
	Refused string `json:"refused,omitempty" cbor:"refused,omitempty"`
}

// ImportOrder tells an engine to copy one pinned KV block from a store.
type ImportOrder struct {
	Store    string    `json:"store" cbor:"store"`
	Account  string    `json:"account" cbor:"account"`
	Key      chain.Key `json:"key" cbor:"key"`
	ShardKey chain.Key `json:"first" cbor:"first"`
	Pin      Pin       `json:"pin" cbor:"pin"`
}

// Order is the complete desired state of an engine. Orders are idempotent.
type Order struct {
	FencingToken uint64   `json:"fence" cbor:"fence"`
	Models       []Loaded `json:"models" cbor:"models"`
	Role         string   `json:"role,omitempty" cbor:"role,omitempty"`
}

// OrderResult is the engine's state after an order.
type OrderResult struct {
	FencingToken uint64   `json:"fence" cbor:"fence"`
	Models       []Loaded `json:"models" cbor:"models"`
}

// Call is a call of a plain service.
type Call struct {
	Attempt string            `json:"attempt" cbor:"attempt"`
	Account string            `json:"account" cbor:"account"`
	Method  string            `json:"method" cbor:"method"`
	Path    string            `json:"path" cbor:"path"`
	Query   string            `json:"query,omitempty" cbor:"query,omitempty"`
	Header  map[string]string `json:"header,omitempty" cbor:"header,omitempty"`
	Body    []byte            `json:"body,omitempty" cbor:"body,omitempty"`
}

// Answer is the whole answer of a plain service.
type Answer struct {
	Status int               `json:"status" cbor:"status"`
	Header map[string]string `json:"header,omitempty" cbor:"header,omitempty"`
	Body   []byte            `json:"body" cbor:"body"`
}
