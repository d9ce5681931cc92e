package target

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"sesamehill.example/sesamehill/internal/calls"
	"sesamehill.example/sesamehill/pkg/chain"
)

var _ Store = (*StoreClient)(nil)

// StoreClient is the HTTP client of a store. It does not transfer the bytes of KV
// blocks, which go only between engines and stores.
type StoreClient struct{ caller }

// NewStore returns a client for the store at an address.
func NewStore(address string) *StoreClient {
	return &StoreClient{caller{calls.NewPool(address)}}
}

// Free removes a generation of a KV block. It returns a *PinnedError if the block
// is pinned.
func (s *StoreClient) Free(ctx context.Context, key chain.Key, generation uint64) error {
	q := "gen=" + strconv.FormatUint(generation, 10)
	return s.call(ctx, calls.Request{Method: http.MethodDelete, Path: blockPath(key), Query: q}, nil, nil)
}

// List returns the committed KV blocks.
func (s *StoreClient) List(ctx context.Context) ([]StoredBlock, error) {
	var p []StoredBlock
	err := s.call(ctx, calls.Request{Method: http.MethodGet, Path: "/pieces"}, nil, &p)
	return p, err
}

// Pin prevents a committed generation of a KV block from being freed until the
// time to live expires. The time to live is sent in whole milliseconds.
func (s *StoreClient) Pin(ctx context.Context, key chain.Key, ttl time.Duration) (Pin, error) {
	var p Pin
	in := PinRequest{TTLMillis: ttl.Milliseconds()}
	err := s.call(ctx, calls.Request{Method: http.MethodPost, Path: blockPath(key) + "/pin"}, in, &p)
	return p, err
}

// Unpin removes a pin.
func (s *StoreClient) Unpin(ctx context.Context, key chain.Key, id string) error {
	path := blockPath(key) + "/pin/" + url.PathEscape(id)
	return s.call(ctx, calls.Request{Method: http.MethodDelete, Path: path}, nil, nil)
}

// Usage returns the used and total capacity of the store.
func (s *StoreClient) Usage(ctx context.Context) (Usage, error) {
	var u Usage
	err := s.call(ctx, calls.Request{Method: http.MethodGet, Path: "/usage"}, nil, &u)
	return u, err
}

func blockPath(key chain.Key) string { return "/pieces/" + key.String() }
