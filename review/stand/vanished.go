package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	vanishedStreams = 24
	// vanishedDown is how long the hosts are down, and triesGap the time between two tries
	// of a client that finds no host.
	vanishedDown = 600 * time.Millisecond
	triesGap     = 500 * time.Millisecond
	maxTries     = 6
)

// playVanished ends a release: the last workers of the former software version leave. While
// they still serve their streams, all hosts are killed at once and start again. Clients take
// their streams up there.
func playVanished(s *stage) (bool, string) {
	s.putConfig(3, tenant{Name: "alfa", APIKeys: []string{"key-alfa"}})
	start := func(id, software string) *Worker {
		k := s.newWorker(id)
		k.events, k.gap = 40, 250*time.Millisecond
		k.Start(software)
		return k
	}
	former := []*Worker{start("i-llm-0", "v1"), start("i-llm-1", "v1")}
	var hosts []*Host
	for i := range 3 {
		h := s.host(fmt.Sprintf("front-sul-a-%d", i+1), "127.0.0.1")
		h.Start()
		hosts = append(hosts, h)
	}
	for _, h := range hosts {
		h.AwaitReady()
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	mixed, taken := 0, 0
	var clients sync.WaitGroup
	for c := range vanishedStreams {
		clients.Go(func() {
			q := Request{ID: fmt.Sprintf("v-%d", c), Key: "key-alfa", Path: "/history/x", Parts: fmt.Sprintf("a%d:400,b%d:200", c, c), Timeout: 15 * time.Second}
			end := time.Now().Add(q.Timeout)
			a := do(s.record, hosts[c%3].Front, q, abandonAfter)
			versions := map[string]bool{}
			note := func(events []Event) {
				for _, e := range events {
					versions[strings.Fields(e.Data)[1]] = true
				}
			}
			note(a.Events)
			for try := 1; try <= maxTries && !a.Complete && len(versions) == 1; try++ {
				left := time.Until(end)
				if left < time.Second {
					break
				}
				b := do(s.record, hosts[(c+try)%3].Front, Request{
					ID: fmt.Sprintf("v-%d-again-%d", c, try), Key: q.Key, Path: q.Path, Parts: q.Parts, Timeout: left,
					Last: a.Events[len(a.Events)-1].ID, Resumes: q.ID,
				}, abandonAfter)
				note(b.Events)
				if len(b.Events) > 0 {
					mu.Lock()
					taken++
					mu.Unlock()
					break
				}
				time.Sleep(max(triesGap, min(b.RetryAfter, left/3)))
			}
			if len(versions) > 1 {
				mu.Lock()
				mixed++
				mu.Unlock()
				s.record.Add("the client of stream %s holds events of %d software versions", q.ID, len(versions))
			}
		})
	}
	time.Sleep(time.Second)
	for i, k := range former {
		start(fmt.Sprintf("i-llm-new-%d", i), "v2")
		time.Sleep(time.Second)
		s.store.Remove("servers", k.ID)
		k.Leave()
		time.AfterFunc(exitAfter, func() { k.Exit(false) })
	}
	time.Sleep(time.Second)
	if s.trouble {
		for _, h := range hosts {
			h.Kill()
		}
		s.record.Add("all hosts were killed")
		time.Sleep(vanishedDown)
		for _, h := range hosts {
			h.Start()
		}
	}
	clients.Wait()
	return mixed > allowedMixed, fmt.Sprintf("%d of %d streams hold events of two software versions over their clients' tries, of %d that went on; %d are allowed", mixed, vanishedStreams, taken, allowedMixed)
}
