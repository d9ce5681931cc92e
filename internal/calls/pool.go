package calls

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
)

// maxIdleConns limits the number of idle connections to one address.
const maxIdleConns = 64

var errReadFailed = errors.New("reading the reply from the connection failed")

// Error is a failure of the connection or of the HTTP exchange. MaybeSent reports
// whether any part of the request was written. If it is false, the server has
// certainly not received the request.
type Error struct {
	MaybeSent bool
	Err       error
}

// Error describes the failure.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Request is an HTTP request. Path starts with a slash; Query is encoded.
type Request struct {
	Method      string
	Path        string
	Query       string
	Header      map[string]string
	ContentType string
	Body        []byte
}

// Reply is a whole HTTP reply.
type Reply struct {
	Status int
	Header map[string]string
	Body   []byte
}

// Pool makes calls to one address. It is safe for concurrent use and has no
// limit on concurrent calls.
type Pool struct {
	address string

	mu     sync.Mutex
	idle   []*connClient
	closed bool
}

// NewPool returns a pool for an address, with or without the scheme http.
func NewPool(address string) *Pool {
	SilenceHertz()
	return &Pool{address: strings.TrimSuffix(strings.TrimPrefix(address, "http://"), "/")}
}

// Address returns host and port.
func (p *Pool) Address() string { return p.address }

// Close closes the idle connections. Calls in progress continue.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, cc := range idle {
		cc.drop()
	}
}

// Do makes a call and reads the whole reply. Its errors are of type *Error.
func (p *Pool) Do(ctx context.Context, r Request) (Reply, error) {
	cc, endCall, resp, err := p.send(ctx, r)
	if err != nil {
		return Reply{}, err
	}
	return p.read(ctx, cc, endCall, resp)
}

// Open makes a call. When the server answers with status 200 and an event
// stream, Open returns the stream as soon as the header has arrived. Otherwise it
// returns the whole reply.
func (p *Pool) Open(ctx context.Context, r Request) (*Stream, Reply, error) {
	cc, endCall, resp, err := p.send(ctx, r)
	if err != nil {
		return nil, Reply{}, err
	}
	if resp.IsBodyStream() && resp.StatusCode() == http.StatusOK {
		return p.open(cc, endCall, resp)
	}
	reply, err := p.read(ctx, cc, endCall, resp)
	return nil, reply, err
}

// send sends a request. It returns when the header of the reply has arrived and,
// unless the reply is an event stream, also the body. The returned function ends the
// call and reports whether the connection can be reused for another call.
func (p *Pool) send(ctx context.Context, r Request) (*connClient, func() bool, *protocol.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, nil, nil, &Error{Err: err}
	}
	cc := p.acquire()
	endCall := cc.begin(ctx)
	req, resp := p.request(r), protocol.AcquireResponse()
	// When ctx is canceled, the client closes the connection, which ends the call.
	err := cc.client.Do(context.WithoutCancel(ctx), req, resp)
	protocol.ReleaseRequest(req)
	// hertz treats any read error as the end of a body without a length.
	if err == nil && cc.failed.Load() {
		err = errReadFailed
	}
	if status := resp.StatusCode(); err == nil && status < http.StatusOK {
		err = fmt.Errorf("the server sent status %d in place of a reply; no request asks for it", status)
	}
	if err != nil {
		_ = resp.CloseBodyStream()
		protocol.ReleaseResponse(resp)
		return nil, nil, nil, p.fail(ctx, cc, endCall, err)
	}
	return cc, endCall, resp, nil
}

// fail ends a failed call and closes its connection.
func (p *Pool) fail(ctx context.Context, cc *connClient, endCall func() bool, err error) error {
	sent := cc.sent.Load()
	endCall()
	cc.drop()
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return &Error{MaybeSent: sent, Err: err}
}

// read reads the remaining part of a reply. It returns the client to the pool unless the
// reply is a refusal.
func (p *Pool) read(ctx context.Context, cc *connClient, endCall func() bool, resp *protocol.Response) (Reply, error) {
	defer protocol.ReleaseResponse(resp)
	body, err := resp.BodyE()
	if err != nil {
		return Reply{}, p.fail(ctx, cc, endCall, err)
	}
	reply := Reply{
		Status: resp.StatusCode(),
		Header: make(map[string]string),
		Body:   bytes.Clone(body),
	}
	resp.Header.VisitAll(func(k, v []byte) { reply.Header[string(k)] = string(v) })
	// Replies do not name their request. A second copy of a refusal on the same
	// connection would say that the next request did not run.
	usable := endCall() && reply.Status < http.StatusBadRequest
	p.release(cc, usable)
	return reply, nil
}

// open returns the stream of a reply whose header has arrived. The function endCall
// ends the call and reports whether the connection can be reused for another call.
func (p *Pool) open(cc *connClient, endCall func() bool, resp *protocol.Response) (*Stream, Reply, error) {
	reader, err := sse.NewReader(resp)
	if err != nil {
		endCall()
		cc.drop()
		_ = resp.CloseBodyStream()
		return nil, Reply{}, &Error{MaybeSent: true, Err: fmt.Errorf("reading the header of a stream: %w", err)}
	}
	reader.SetMaxBufferSize(maxEventBytes)
	return &Stream{pool: p, client: cc, endCall: endCall, resp: resp, reader: reader, event: sse.NewEvent()}, Reply{}, nil
}

func (p *Pool) request(r Request) *protocol.Request {
	req := protocol.AcquireRequest()
	uri := "http://" + p.address + r.Path
	if r.Query != "" {
		uri += "?" + r.Query
	}
	req.SetMethod(r.Method)
	req.SetRequestURI(uri)
	for k, v := range r.Header {
		req.Header.Set(k, v)
	}
	if r.ContentType != "" {
		req.Header.SetContentTypeBytes([]byte(r.ContentType))
	}
	if r.Body != nil {
		req.SetBodyRaw(r.Body)
	}
	return req
}

// acquire returns an idle client whose connection is open, or a new client.
func (p *Pool) acquire() *connClient {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			return newConnClient(p.address)
		}
		cc := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if cc.open() {
			return cc
		}
		cc.drop()
	}
}

// release returns a client to the pool if its connection can be reused, and
// closes the connection otherwise.
func (p *Pool) release(cc *connClient, usable bool) {
	p.mu.Lock()
	if !usable || p.closed || len(p.idle) >= maxIdleConns {
		p.mu.Unlock()
		cc.drop()
		return
	}
	p.idle = append(p.idle, cc)
	p.mu.Unlock()
}

var quietOnce sync.Once

// SilenceHertz turns off the log lines of hertz. It must be called before any use of
// hertz.
func SilenceHertz() {
	quietOnce.Do(func() {
		hlog.SetSilentMode(true)
		hlog.SetLevel(hlog.LevelFatal)
	})
}
