package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	stoppedEngines = 18
	stoppedHosts   = 4
	// nameEvery is the time between two announcements of weights.
	nameEvery = 400 * time.Millisecond
	// stopsFor is the time for which holders are stopped, one after the other.
	stopsFor = 100 * time.Second
)

// playStopped stops the host that gives orders, again and again, in the middle of a rollout.
// Orders of two machines to one worker are to be leaseMs apart.
func playStopped(s *stage) (bool, string) {
	s.putConfig(3, tenant{Name: "alfa", APIKeys: []string{"key-alfa"}})
	s.store.Put("op", "version/"+modelName, map[string]any{"Model": modelName, "Version": 1})
	var mu sync.Mutex
	last := map[string]orderSeen{}
	newest, least, orders := "", time.Hour, 0
	for i := range stoppedEngines {
		k := s.newWorker(fmt.Sprintf("i-llm-%02d", i))
		k.loadTime = loadTime + time.Duration(i%7)*20*time.Millisecond // the workers are not alike
		k.onOrder = func(k *Worker, o map[string]any) {
			mu.Lock()
			defer mu.Unlock()
			orders++
			now := orderSeen{at: s.record.Now(), machine: fmt.Sprint(o["Holder"]), worker: k.ID}
			before, ordered := last[k.ID]
			if gap := now.at - before.at; ordered && before.machine != now.machine {
				least = min(least, gap)
				s.record.Add("%s orders worker %s %v after %s has", now.machine, k.ID, gap, before.machine)
			}
			last[k.ID], newest = now, now.machine
		}
		k.Start("v1")
	}
	hosts := map[string]*Host{}
	for i := range stoppedHosts {
		h := s.host(fmt.Sprintf("front-sul-a-%d", i+1), "127.0.0.1")
		h.Start()
		hosts[h.Name] = h
	}
	for _, h := range hosts {
		h.AwaitReady()
	}
	end := time.Now().Add(stopsFor)
	go func() {
		for v := 2; time.Now().Before(end); v++ {
			s.store.Put("op", "version/"+modelName, map[string]any{"Model": modelName, "Version": v})
			time.Sleep(nameEvery)
		}
	}()
	holder := func() string {
		mu.Lock()
		defer mu.Unlock()
		return newest
	}
	broken := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return least < leaseMs*time.Millisecond
	}
	stops := 0
	for time.Now().Before(end) && !broken() {
		time.Sleep(300 * time.Millisecond)
		h := hosts[holder()]
		if !s.trouble || h == nil {
			continue
		}
		stops++
		h.Signal(syscall.SIGTERM)
		select {
		case <-h.done:
			s.record.Add("host %s has ended", h.Name)
		case <-time.After(graceS * time.Second):
			h.Kill()
		}
		h.Start()
		for holder() == h.Name && time.Now().Before(end) {
			time.Sleep(10 * time.Millisecond)
		}
	}
	seen := fmt.Sprintf("%d orders, %d holders were stopped", orders, stops)
	if least < time.Hour {
		seen += fmt.Sprintf("; the least time between orders of two machines to one worker is %v; LeaseMs is %d", least, leaseMs)
	}
	if orders == 0 || s.trouble && least == time.Hour {
		fail("no hand-over was seen: %s", seen)
	}
	return broken(), seen
}

// orderSeen is an order that has arrived at a worker.
type orderSeen struct {
	at      time.Duration
	machine string
	worker  string
}
