//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// leaveTime is how long after its report the worker that leaves serves on.
	leaveTime = 5200 * time.Millisecond
	// drainDelay is the time from the moment at which connections go silent to that report.
	drainDelay = 400 * time.Millisecond
	// A booking is sent every bookEvery, and runs for bookWork.
	bookEvery = 17 * time.Millisecond
	bookWork  = 150 * time.Millisecond
)

// link passes connections on to an address, until it makes those that are open silent.
type link struct {
	net.Listener
	to string

	mu     sync.Mutex
	silent map[net.Conn]bool
	open   []net.Conn
}

// newLink starts a link to an address.
func (r *rig) newLink(to string) *link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.must(err)
	k := &link{Listener: l, to: to, silent: map[net.Conn]bool{}}
	r.cleanups = append(r.cleanups, func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return k
}

func (k *link) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	out, err := net.Dial("tcp", k.to)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	k.mu.Lock()
	k.open = append(k.open, c)
	k.mu.Unlock()
	go func() {
		k.copy(c, out, c)
		_ = out.Close()
	}()
	k.copy(c, c, out)
}

// copy passes bytes on while the connection is not silent.
func (k *link) copy(c net.Conn, to io.Writer, from io.Reader) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		k.mu.Lock()
		silent := k.silent[c]
		k.mu.Unlock()
		if silent {
			if err == nil {
				continue // the bytes are lost
			}
			if from != io.Reader(c) {
				select {} // its other end is not told
			}
		}
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// silence makes all open connections silent for good. New ones work.
func (k *link) silence() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.open {
		k.silent[c] = true
	}
	return len(k.open)
}

// playSilent has a worker drain and leave after the host's open connections to the store have gone
// silent, or without that.
func playSilent(r *rig) {
	now := time.Now().UnixMilli()
	leaving, other := r.newWorker("i-a1", "", now, bookWork), r.newWorker("i-b2", "", now, bookWork)
	states := map[*worker]string{leaving: "ready", other: "ready"}
	var mu sync.Mutex
	beat := func(w *worker, sequence int) {
		mu.Lock()
		defer mu.Unlock()
		if states[w] != "" {
			w.put(states[w], sequence)
		}
	}
	beat(leaving, 1)
	beat(other, 1)
	go func() {
		for n := 2; ; n++ {
			time.Sleep(heartbeat)
			beat(leaving, n)
			beat(other, n)
		}
	}()
	r.putConfig("non_idempotent", "/bobo563/", 1)
	k := r.newLink(r.store.Address())
	r.storeAddress = k.Addr().String()
	r.startHost()

	var sent, answered, refused, failed, lost atomic.Int64
	var silentAt, drainedAt atomic.Int64
	var late []time.Duration
	stopBooking := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stopBooking:
				return
			case <-time.After(bookEvery):
			}
			id := fmt.Sprintf("%016x", n)
			group.Go(func() {
				sent.Add(1)
				sentAt := time.Now()
				switch status, whole := r.book(id); {
				case status == http.StatusOK && whole:
					answered.Add(1)
				case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
					refused.Add(1)
				default:
					failed.Add(1)
					if leaving.ran(id) > 0 {
						lost.Add(1)
					}
				}
				if silentAt.Load() == 0 || drainedAt.Load() == 0 || leaving.ran(id) == 0 {
					return
				}
				after := sentAt.Sub(time.Unix(0, drainedAt.Load()))
				if after > drainTime+100*time.Millisecond && sentAt.Sub(time.Unix(0, silentAt.Load())) > contactTime+100*time.Millisecond {
					mu.Lock()
					defer mu.Unlock()
					late = append(late, after)
					if len(late) <= 5 {
						r.record("request %s, sent %v after the acknowledgement, has reached worker i-a1", id, after.Round(time.Millisecond))
					}
				}
			})
		}
	})
	time.Sleep(contactTime + time.Second)
	silentAt.Store(time.Now().UnixNano())
	if r.trouble {
		r.record("%d open connections to the store go silent; new ones work", k.silence())
	}
	time.Sleep(drainDelay)
	mu.Lock()
	states[leaving] = "draining"
	leaving.put("draining", 1000)
	mu.Unlock()
	drainedAt.Store(time.Now().UnixNano())
	r.record("the store has acknowledged that worker i-a1 drains; it has run %d requests", leaving.ranCount())
	time.Sleep(leaveTime)
	before := lost.Load()
	leaving.stop()
	mu.Lock()
	states[leaving] = ""
	mu.Unlock()
	r.store.Remove("servers", "i-a1")
	r.record("worker i-a1 has left; it has run %d requests", leaving.ranCount())
	time.Sleep(2 * time.Second)
	close(stopBooking)
	group.Wait()
	r.logLines(r.hosts[0], "platform table", 6)
	mu.Lock()
	defer mu.Unlock()
	r.record("bookings: sent %d, answered %d, refused %d, failed %d; run by the worker that left and not answered: %d", sent.Load(), answered.Load(), refused.Load(), failed.Load(), lost.Load()-before)
	r.finish(len(late) > 0, "%d requests reached the worker later than DrainMs after the acknowledgement and ContactMs after the disturbance", len(late))
}
