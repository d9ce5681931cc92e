package member

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"sesamehill.example/sesamehill/internal/target"
)

// inactivityTimeout is the time after which the server closes an unused connection
// that the other host did not close. It is longer than the idle timeout of clients.
const inactivityTimeout = 2 * idleTimeout

// Names of the calls.
const (
	heartbeatCall = "/peers/heartbeat"
	probeCall     = "/peers/probe"
	syncCall      = "/peers/sync"
	lookupCall    = "/peers/lookup"
	recordCall    = "/peers/record"
	filterCall    = "/peers/filter"
	sectionCall   = "/peers/section"
	handoverCall  = "/peers/handover"
)

// ControlHandler answers membership messages; Gossip implements it.
type ControlHandler interface {
	Heartbeat(ctx context.Context, h *Heartbeat) (*Heartbeat, error)
	Probe(ctx context.Context, r *ProbeRequest) (*ProbeReply, error)
	Sync(ctx context.Context, r *SyncRequest) (*SyncReply, error)
}

// LookupHandler answers lookups of KV blocks and returns the Bloom filter of the
// index.
type LookupHandler interface {
	Filter(ctx context.Context, r *FilterRequest) (*FilterReply, error)
	Lookup(ctx context.Context, r *LookupRequest) (*LookupReply, error)
}

// RecordHandler receives the records of observer hosts.
type RecordHandler interface {
	Record(ctx context.Context, r *RecordRequest) (*RecordReply, error)
}

// SectionHandler returns sections of configuration documents.
type SectionHandler interface {
	Section(ctx context.Context, r *SectionRequest) (*SectionReply, error)
}

// HandoverHandler runs requests of hosts in other regions. It calls Accept or
// Refuse once, then Send for each chunk; an error breaks the stream.
type HandoverHandler interface {
	Handover(r *HandoverRequest, s *HandoverStream) error
}

// HandoverStream is the server's side of a forwarded request.
type HandoverStream struct {
	stream drpc.Stream
}

// Context returns a context that is canceled when the caller disconnects.
func (s *HandoverStream) Context() context.Context { return s.stream.Context() }

// Accept sends the run ID.
func (s *HandoverStream) Accept(run string) error { return s.send(&HandoverEvent{Run: run}) }

// Refuse sends a refusal; no chunk may follow.
func (s *HandoverStream) Refuse(r Refusal) error { return s.send(&HandoverEvent{Refusal: &r}) }

// Send sends a chunk of the answer.
func (s *HandoverStream) Send(c target.Chunk) error { return s.send(&HandoverEvent{Chunk: &c}) }

func (s *HandoverStream) send(e *HandoverEvent) error {
	return errors.Trace(s.stream.MsgSend(e, encoding{}))
}

// Handler registers the implementation of some calls at a server.
type Handler struct {
	impl  any
	calls description
}

// HandleControl serves heartbeats, probes and syncs.
func HandleControl(h ControlHandler) Handler {
	return Handler{h, description{
		unary(heartbeatCall, ControlHandler.Heartbeat, func(srv any, ctx context.Context, in any) (drpc.Message, error) {
			return srv.(ControlHandler).Heartbeat(ctx, in.(*Heartbeat))
		}),
		unary(probeCall, ControlHandler.Probe, func(srv any, ctx context.Context, in any) (drpc.Message, error) {
			return srv.(ControlHandler).Probe(ctx, in.(*ProbeRequest))
		}),
		unary(syncCall, ControlHandler.Sync, func(srv any, ctx context.Context, in any) (drpc.Message, error) {
			return srv.(ControlHandler).Sync(ctx, in.(*SyncRequest))
		}),
	}}
}

// HandleLookups serves lookups.
func HandleLookups(h LookupHandler) Handler {
	return Handler{h, description{
		unary(filterCall, LookupHandler.Filter, func(srv any, ctx context.Context, in any) (drpc.Message, error) {
			return srv.(LookupHandler).Filter(ctx, in.(*FilterRequest))
		}),
		unary(lookupCall, LookupHandler.Lookup, func(srv any, ctx context.Context, in any) (drpc.Message, error) {
			return srv.(LookupHandler).Lookup(ctx, in.(*LookupRequest))
		}),
	}}
}

// HandleRecords serves records.
func HandleRecords(h RecordHandler) Handler {
	return Handler{h, description{unary(recordCall, RecordHandler.Record, func(srv any, ctx context.Context, in any) (drpc.Message, error) {
		return srv.(RecordHandler).Record(ctx, in.(*RecordRequest))
	})}}
}

// HandleSections serves sections.
func HandleSections(h SectionHandler) Handler {
	return Handler{h, description{unary(sectionCall, SectionHandler.Section, func(srv any, ctx context.Context, in any) (drpc.Message, error) {
		return srv.(SectionHandler).Section(ctx, in.(*SectionRequest))
	})}}
}

// HandleHandovers serves forwarded requests.
func HandleHandovers(h HandoverHandler) Handler {
	return Handler{h, description{{
		name: handoverCall,
		receive: func(srv any, _ context.Context, in1, in2 any) (drpc.Message, error) {
			return nil, srv.(HandoverHandler).Handover(in1.(*HandoverRequest), &HandoverStream{in2.(drpc.Stream)})
		},
		// drpc derives the kind of call from this signature.
		method: func(HandoverHandler, *HandoverRequest, drpc.Stream) error { return nil },
	}}}
}

// call describes one call to drpc.
type call struct {
	name    string
	receive drpc.Receiver
	method  any
}

// description implements drpc.Description without generated code.
type description []call

// NumMethods returns the number of calls.
func (d description) NumMethods() int { return len(d) }

// Method returns the n-th call.
func (d description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n < 0 || n >= len(d) {
		return "", nil, nil, nil, false
	}
	return d[n].name, encoding{}, d[n].receive, d[n].method, true
}

// unary describes a call with one request and one reply. drpc derives the types
// of both from the method.
func unary(name string, method any, receive func(srv any, ctx context.Context, in any) (drpc.Message, error)) call {
	return call{
		name: name,
		receive: func(srv any, ctx context.Context, in1, _ any) (drpc.Message, error) {
			return receive(srv, ctx, in1)
		},
		method: method,
	}
}

// Server serves the messages of other hosts.
type Server struct {
	server *drpcserver.Server
}

// NewServer returns a server with the given handlers; it rejects calls without
// a handler.
func NewServer(handlers ...Handler) (*Server, error) {
	mux := drpcmux.New()
	for _, h := range handlers {
		if err := mux.Register(h.impl, h.calls); err != nil {
			return nil, errors.Annotate(err, "register handlers")
		}
	}
	return &Server{drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions(inactivityTimeout)})}, nil
}

// Serve serves until ctx is done, and then breaks the streams that are still open.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return errors.Trace(s.server.Serve(ctx, l))
}

func managerOptions(inactivity time.Duration) drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: MaxHandoverBytes + frameOverheadBytes},
		Stream:            drpcstream.Options{MaximumBufferSize: MaxMessageBytes},
		InactivityTimeout: inactivity,
	}
}
