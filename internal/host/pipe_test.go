package host_test

import (
	"io"
	"net"
	"sync"
)

// pipe forwards TCP connections to an address. Tests cut it to break the
// connections of one host without touching the others.
type pipe struct {
	destination string
	address     string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
}

func newPipe(to string) (*pipe, error) {
	p := &pipe{destination: to, address: "127.0.0.1:0", conns: map[net.Conn]struct{}{}}
	return p, p.restore()
}

// cut breaks all connections and refuses new ones until restore.
func (p *pipe) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	for c := range p.conns {
		_ = c.Close()
	}
	p.conns = map[net.Conn]struct{}{}
}

// restore accepts connections at the same address again.
func (p *pipe) restore() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.listener, p.address = l, l.Addr().String()
	go p.accept(l)
	return nil
}

func (p *pipe) accept(l net.Listener) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			out, err := net.Dial("tcp", p.destination)
			if err != nil {
				_ = in.Close()
				return
			}
			if p.add(l, in, out) {
				go p.copy(out, in)
				p.copy(in, out)
			}
		}()
	}
}

// add records a pair of connections, or closes them if the pipe was cut meanwhile.
func (p *pipe) add(l net.Listener, in, out net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != l {
		_, _ = in.Close(), out.Close()
		return false
	}
	p.conns[in], p.conns[out] = struct{}{}, struct{}{}
	return true
}

// copy forwards one direction and closes both connections when it ends.
func (p *pipe) copy(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_, _ = to.Close(), from.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, to)
	delete(p.conns, from)
}
