package main

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Request is a client attempt.
type Request struct {
	ID, Key string
	Path    string
	Parts   string
	Timeout time.Duration
	// Last and Resumes are set if the client takes a stream up.
	Last    int
	Resumes string
}

// Answer is what the client has received.
type Answer struct {
	Status     int
	Body       string
	RetryAfter time.Duration
	// Events holds the data of the events by ID, in the order of arrival.
	Events []Event
	// Complete is set if the answer has come to its end.
	Complete bool
	// Silent is set if the client gave up after a gap.
	Silent bool
}

// Event is an event of a stream.
type Event struct {
	ID   int
	Data string
}

// do sends a request on a connection of its own. For a stream, the client leaves after a gap.
func do(record *Record, front string, q Request, gap time.Duration) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+q.Path, strings.NewReader("body of "+q.ID))
	if err != nil {
		fail("%v", err)
	}
	req.Host = routeHost
	set := req.Header.Set
	set(name["request"], q.ID)
	set(name["key"], q.Key)
	set(name["deadline"], strconv.FormatInt(q.Timeout.Milliseconds(), 10))
	if q.Parts != "" {
		set(name["model"], modelName)
		set(name["usage"], "600,40")
		set(name["prefix"], q.Parts)
	}
	if q.Resumes != "" {
		set(name["resumes"], q.Resumes)
		set(name["last"], strconv.Itoa(q.Last))
	}
	record.Add("client sends %s to %s, path %s, key %s, parts %q, resumes %q after event %d", q.ID, front, q.Path, q.Key, q.Parts, q.Resumes, q.Last)
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		record.Add("client got no answer to %s: %v", q.ID, err)
		return Answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	a := Answer{Status: resp.StatusCode}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.RetryAfter = time.Duration(s * float64(time.Second))
	}
	if resp.Header.Get("Content-Type") != "text/event-stream" {
		b, err := io.ReadAll(resp.Body)
		a.Body, a.Complete = string(b), err == nil
		record.Add("client got %d to %s, complete %t: %.120q", a.Status, q.ID, a.Complete, a.Body)
		return a
	}
	var silent sync.Once
	watch := time.AfterFunc(gap, func() { silent.Do(func() { a.Silent = true; cancel() }) })
	defer watch.Stop()
	lines, id := bufio.NewScanner(resp.Body), 0
	for lines.Scan() {
		if v, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			id, _ = strconv.Atoi(v)
		}
		if v, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			watch.Reset(gap)
			a.Events = append(a.Events, Event{ID: id, Data: v})
		}
	}
	a.Complete = lines.Err() == nil
	record.Add("client got %d to %s, complete %t, silent %t, events %v", a.Status, q.ID, a.Complete, a.Silent, a.Events)
	return a
}

// Link is an address before a host's front that can go dark.
type Link struct {
	mu     sync.Mutex
	dark   bool
	target string
	l      net.Listener
}

// NewLink returns a link to an address.
func NewLink(target string) *Link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("no free port for a link: %v", err)
	}
	k := &Link{target: target, l: l}
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

// Address returns the address of the link.
func (k *Link) Address() string { return k.l.Addr().String() }

// Dark makes the link silent: it passes nothing on and closes nothing.
func (k *Link) Dark() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dark = true
}

func (k *Link) isDark() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.dark
}

func (k *Link) serve(c net.Conn) {
	if k.isDark() {
		return
	}
	t, err := net.Dial("tcp", k.target)
	if err != nil {
		_ = c.Close()
		return
	}
	pass := func(to, from net.Conn) {
		b := make([]byte, 4096)
		for {
			n, err := from.Read(b)
			if k.isDark() {
				return // the connections stay open
			}
			if n > 0 {
				if _, werr := to.Write(b[:n]); werr != nil {
					err = werr
				}
			}
			if err != nil {
				_ = to.Close()
				_ = from.Close()
				return
			}
		}
	}
	go pass(t, c)
	pass(c, t)
}
