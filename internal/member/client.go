package member

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"sesamehill.example/sesamehill/internal/target"
)

const (
	// idleTimeout is the time after which an unused connection is closed. At 330
	// hosts, a host contacts the same peer about every two minutes, and keeping
	// every connection open would take a third of its memory.
	idleTimeout = 30 * time.Second
	// maxIdlePerPeer and maxIdleTotal bound the idle connections of one pool.
	maxIdlePerPeer = 4
	maxIdleTotal   = 128
	// dialTimeout bounds a connection attempt if the caller's deadline is later.
	dialTimeout = 2 * time.Second
)

// Client calls other hosts. A connection carries one call at a time, and a call
// that ends early closes it; control messages, lookups and streams therefore use
// separate connections. A Client is safe for concurrent use.
type Client struct {
	control, lookups, streams *pool
}

type pool = drpcpool.Pool[string, drpcpool.Conn]

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{control: newPool(), lookups: newPool(), streams: newPool()}
}

// Close closes all idle connections.
func (c *Client) Close() error {
	for _, p := range []*pool{c.control, c.lookups, c.streams} {
		if err := p.Close(); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// Heartbeat sends a heartbeat to the host at address and returns its reply.
func (c *Client) Heartbeat(ctx context.Context, address string, h *Heartbeat) (*Heartbeat, error) {
	out := &Heartbeat{}
	return out, invoke(ctx, c.control, address, heartbeatCall, h, out)
}

// Probe requests that the host at address contacts another one.
func (c *Client) Probe(ctx context.Context, address string, r *ProbeRequest) (*ProbeReply, error) {
	out := &ProbeReply{}
	return out, invoke(ctx, c.control, address, probeCall, r, out)
}

// Sync requests the table of the host at address.
func (c *Client) Sync(ctx context.Context, address string, r *SyncRequest) (*SyncReply, error) {
	out := &SyncReply{}
	return out, invoke(ctx, c.control, address, syncCall, r, out)
}

// Section requests sections from the host at address.
func (c *Client) Section(ctx context.Context, address string, r *SectionRequest) (*SectionReply, error) {
	out := &SectionReply{}
	return out, invoke(ctx, c.control, address, sectionCall, r, out)
}

// Lookup queries the host at address for the targets that hold KV blocks.
func (c *Client) Lookup(ctx context.Context, address string, r *LookupRequest) (*LookupReply, error) {
	out := &LookupReply{}
	return out, invoke(ctx, c.lookups, address, lookupCall, r, out)
}

// Filter requests the Bloom filter of the part of the index at the host at address.
func (c *Client) Filter(ctx context.Context, address string) (*FilterReply, error) {
	out := &FilterReply{}
	return out, invoke(ctx, c.control, address, filterCall, &FilterRequest{}, out)
}

// Record reports changes to the host at address.
func (c *Client) Record(ctx context.Context, address string, r *RecordRequest) (*RecordReply, error) {
	out := &RecordReply{}
	return out, invoke(ctx, c.lookups, address, recordCall, r, out)
}

// Handover forwards a request to the host at address. It returns after the first
// reply. The error is a *RefusedError, a *target.NotRunError if the host
// certainly did not receive the request, or a *target.BrokenError.
func (c *Client) Handover(ctx context.Context, address string, r *HandoverRequest) (*HandoverCall, error) {
	ctx, cancel := context.WithCancel(ctx)
	stream, err := c.streams.Get(ctx, address, dial).NewStream(ctx, handoverCall, encoding{})
	if err == nil {
		if err = stream.MsgSend(r, encoding{}); errors.As(err, new(*SizeError)) {
			err = closeWith(stream, err)
		} else if err != nil {
			cancel()
			return nil, &target.BrokenError{Target: address, Reason: err.Error()}
		}
	}
	if err != nil {
		cancel()
		return nil, &target.NotRunError{Target: address, Reason: err.Error()}
	}
	h := &HandoverCall{address: address, stream: stream, cancel: cancel}
	firstEvent := &HandoverEvent{}
	if err := stream.MsgRecv(firstEvent, encoding{}); err != nil {
		_ = h.Close()
		return nil, &target.BrokenError{Target: address, Reason: err.Error()}
	}
	switch {
	case firstEvent.Refusal != nil:
		_ = h.Close()
		return nil, &RefusedError{Host: address, Refusal: *firstEvent.Refusal}
	case firstEvent.Run == "":
		_ = h.Close()
		return nil, &target.BrokenError{Target: address, Reason: "the host sent a chunk before the run ID"}
	}
	h.Run = firstEvent.Run
	return h, nil
}

// HandoverCall is the response to a forwarded request. It implements target.Stream.
type HandoverCall struct {
	// Run is the run ID that the other host assigned to the request.
	Run     string
	address string
	stream  drpc.Stream
	cancel  context.CancelFunc
	done    bool
}

var _ target.Stream = (*HandoverCall)(nil)

// Next returns the next chunk, and io.EOF only after a chunk with Done set.
func (h *HandoverCall) Next() (target.Chunk, error) {
	if h.done {
		return target.Chunk{}, io.EOF
	}
	e := &HandoverEvent{}
	if err := h.stream.MsgRecv(e, encoding{}); err != nil {
		return target.Chunk{}, &target.BrokenError{Target: h.address, Reason: err.Error()}
	}
	if e.Chunk == nil {
		return target.Chunk{}, &target.BrokenError{Target: h.address, Reason: "the host sent an event without a chunk"}
	}
	h.done = e.Chunk.Done
	return *e.Chunk, nil
}

// Close ends the call; the other host then cancels a run that has not ended. Close
// always succeeds, because a call with a canceled context or a broken connection has
// already ended.
func (h *HandoverCall) Close() error {
	_ = h.stream.Close()
	h.cancel()
	return nil
}

// RefusedError reports that a host rejected a forwarded request.
type RefusedError struct {
	Host    string
	Refusal Refusal
}

// Error names the host, the reason and the remedy.
func (e *RefusedError) Error() string {
	return "host " + e.Host + " rejected the request: " + e.Refusal.Reason + "; send it to another host"
}

func newPool() *pool {
	return drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration: idleTimeout, Capacity: maxIdleTotal, KeyCapacity: maxIdlePerPeer,
	})
}

func dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "dial host %s", address)
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions(0)}), nil
}

func invoke(ctx context.Context, p *pool, address, name string, in, out drpc.Message) error {
	return errors.Annotatef(p.Get(ctx, address, dial).Invoke(ctx, name, encoding{}, in, out), "call %s of host %s", name, address)
}

func closeWith(s drpc.Stream, err error) error {
	_ = s.Close()
	return err
}
