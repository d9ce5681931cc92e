package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	takenStreams = 24
	// abandonAfter is the gap after which a client abandons a stream: four times the
	// objective of 1,000 ms, eight times the pause of 500 ms.
	abandonAfter = 4 * time.Second
	minTaken     = 12
)

// playTaken cuts the power of a machine with open streams, while a release adds a worker
// with a new software version. Clients take their streams up at the other machines.
func playTaken(s *stage) (bool, string) {
	s.putConfig(3, tenant{Name: "alfa", APIKeys: []string{"key-alfa"}})
	for i := range 4 {
		k := s.newWorker(fmt.Sprintf("i-llm-%d", i))
		k.events, k.gap = 40, 200*time.Millisecond
		k.Start("v1")
	}
	var hosts []*Host
	for i := range 3 {
		h := s.host(fmt.Sprintf("front-sul-a-%d", i+1), "127.0.0.1")
		h.Start()
		hosts = append(hosts, h)
	}
	for _, h := range hosts {
		h.AwaitReady()
	}
	time.Sleep(5 * time.Second)
	link := NewLink(hosts[0].Front)
	var mu sync.Mutex
	taken, goneOn, fresh, begun := 0, 0, 0, 0
	var clients sync.WaitGroup
	for c := range takenStreams {
		clients.Go(func() {
			q := Request{ID: fmt.Sprintf("t-%d", c), Key: "key-alfa", Path: "/history/x", Parts: fmt.Sprintf("a1:400,b%d:200", c), Timeout: 15 * time.Second}
			end := time.Now().Add(q.Timeout)
			a := do(s.record, link.Address(), q, abandonAfter)
			if a.Complete || len(a.Events) == 0 {
				return
			}
			last, on := a.Events[len(a.Events)-1].ID, false
			for try := 1; try <= 2 && !on; try++ {
				left := time.Until(end)
				if left < time.Second {
					break
				}
				again := Request{
					ID: fmt.Sprintf("t-%d-again-%d", c, try), Key: q.Key, Path: q.Path, Parts: q.Parts, Timeout: left, Last: last, Resumes: q.ID,
				}
				b := do(s.record, hosts[1+(c+try)%2].Front, again, abandonAfter)
				on = b.Status == 200 && len(b.Events) > 0 && b.Events[0].ID == last+1
				time.Sleep(min(b.RetryAfter, left/3))
			}
			mu.Lock()
			defer mu.Unlock()
			taken++
			if on {
				goneOn++
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if s.trouble {
		link.Dark()
		hosts[0].Kill()
		s.record.Add("host %s has lost power", hosts[0].Name)
	}
	time.Sleep(time.Second)
	k := s.newWorker("i-llm-new")
	k.events, k.gap = 40, 200*time.Millisecond
	k.Start("v2")
	time.Sleep(time.Second)
	for n := range takenStreams {
		clients.Go(func() {
			time.Sleep(time.Duration(n) * 150 * time.Millisecond)
			q := Request{ID: fmt.Sprintf("n-%d", n), Key: "key-alfa", Path: "/history/x", Parts: fmt.Sprintf("a1:400,c%d:200", n), Timeout: 15 * time.Second}
			a := do(s.record, hosts[1+n%2].Front, q, abandonAfter)
			mu.Lock()
			defer mu.Unlock()
			fresh++
			if a.Status == 200 && len(a.Events) > 0 {
				begun++
			}
		})
	}
	clients.Wait()
	seen := fmt.Sprintf("of %d streams that clients took up %d went on; of %d new streams %d began; four workers of the software version that began them serve", taken, goneOn, fresh, begun)
	switch {
	case !s.trouble && taken < minTaken:
		return false, seen
	case taken < minTaken:
		fail("too few streams for the rule: %s", seen)
	}
	return 2*goneOn*fresh < begun*taken, seen
}
