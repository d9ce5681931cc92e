package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playLeaving lets a worker leave while the store turns one of two hosts away. The worker
// says in all its answers that it leaves.
func playLeaving(s *stage) (bool, string) {
	s.putConfig(3, tenant{Name: "alfa", ApiKeys: []string{"key-alfa"}})
	var mu sync.Mutex
	var toldAt time.Duration // when the host had passed on an answer of the worker that leaves
	sentAt := map[string]time.Duration{}
	late := map[string]bool{}
	var workers []*Worker
	for i := range 3 {
		k := s.newWorker(fmt.Sprintf("i-app-%d", i), app)
		k.work = 60 * time.Millisecond
		k.Start("v1")
		workers = append(workers, k)
	}
	leaver := workers[0]
	var hosts []*Host
	for i := range 3 {
		h := s.host(fmt.Sprintf("front-sul-a-%d", i+1), "127.0.0.1")
		h.Start()
		hosts = append(hosts, h)
	}
	for _, h := range hosts {
		h.AwaitReady()
	}
	leaver.onRun = func(_ *Worker, r *http.Request, _ int) {
		id := r.Header.Get(name["request"])
		mu.Lock()
		defer mu.Unlock()
		if toldAt > 0 && sentAt[id]-toldAt > drainMs*time.Millisecond {
			late[id] = true
		}
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		s.store.TurnAway(hosts[0].Name, true)
		s.record.Add("the store turns host %s away", hosts[0].Name)
		time.AfterFunc(9*time.Second, func() { s.store.TurnAway(hosts[0].Name, false) })
	}
	time.Sleep(500 * time.Millisecond)
	leaver.Drain(true)
	time.AfterFunc(6*time.Second, func() { leaver.Exit(true) })
	lost, answered := 0, 0
	var clients sync.WaitGroup
	for c := range 8 {
		clients.Go(func() {
			for n := 0; n < 120; n++ {
				id := requestID("d-%d-%d", c, n)
				mu.Lock()
				sentAt[id] = s.record.Now()
				mu.Unlock()
				a := do(s.record, hosts[0].Front, Request{ID: id, Key: "key-alfa", Path: "/dispatch/x", Timeout: 4 * time.Second}, 4*time.Second)
				mu.Lock()
				if toldAt == 0 && a.Complete && a.Body == id+" done by "+leaver.ID {
					toldAt = s.record.Now()
					s.record.Add("host %s has passed on an answer of worker %s that says that it leaves", hosts[0].Name, leaver.ID)
				}
				if a.Status == 200 {
					answered++
				} else if late[id] {
					lost++
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	return len(late) > 0, fmt.Sprintf(
		"%d requests that clients sent later than %d ms after the host had passed on that answer reached the worker; %d of these were not answered with success; %d requests were answered",
		len(late), drainMs, lost, answered,
	)
}
