package main

import (
	"cmp"
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	holderEngines = 6
	// replaceAfter is the time between the loss of a machine and the start of the one that
	// takes its place.
	replaceAfter = 500 * time.Millisecond
	// nextVersion is the time between the two announcements of weights.
	nextVersion = time.Second
)

// orderSeen is an order that has arrived at a worker.
type orderSeen struct {
	at      time.Duration
	machine string
	worker  string
	token   any
}

// playHolder loses the machine that gives orders for good, in the middle of a rollout, and
// adds a new machine with its place and name at another address. Orders of two machines to
// one worker are to be leaseMs apart.
func playHolder(s *stage) (bool, string) {
	s.putConfig(3, tenant{Name: "alfa", ApiKeys: []string{"key-alfa"}})
	s.store.Put("op", "version/"+modelName, map[string]any{"Model": modelName, "Version": 1})
	var mu sync.Mutex
	var orders []orderSeen
	machine, lost := "first", false
	first := make(chan struct{}, 1)
	for i := range holderEngines {
		k := s.newWorker(fmt.Sprintf("i-llm-%d", i), llm)
		k.events, k.gap = 40, 100*time.Millisecond
		k.onOrder = func(k *Worker, o map[string]any) {
			mu.Lock()
			defer mu.Unlock()
			orders = append(orders, orderSeen{at: s.record.Now(), machine: machine, worker: k.ID, token: o["FencingToken"]})
			select {
			case first <- struct{}{}:
			default:
			}
		}
		k.Start("v1")
	}
	old := s.host("front-sul-a-1", "127.0.0.1")
	old.Start()
	old.AwaitReady()
	time.Sleep(5 * time.Second) // it takes the lease, and may give orders
	other := s.host("front-sul-a-2", "127.0.0.1")
	other.Start()
	other.AwaitReady()
	time.Sleep(2 * time.Second)
	s.store.Put("op", "version/"+modelName, map[string]any{"Model": modelName, "Version": 2})
	s.record.Add("operator names version 2")
	time.AfterFunc(nextVersion, func() {
		s.store.Put("op", "version/"+modelName, map[string]any{"Model": modelName, "Version": 3})
		s.record.Add("operator names version 3")
	})
	select {
	case <-first:
	case <-time.After(10 * time.Second):
		fail("no order arrived")
	}
	if s.trouble {
		time.Sleep(200 * time.Millisecond)
		old.Kill()
		mu.Lock()
		machine, lost = "second", true
		mu.Unlock()
		s.record.Add("the machine is gone for good")
		time.Sleep(replaceAfter)
		newName := cmp.Or(os.Getenv("NEWNAME"), old.Name) // another name shows what the reuse changes
		next := s.host(newName, "127.0.0.2")
		next.Start()
	}
	time.Sleep(12 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	last := map[string]orderSeen{}
	for _, o := range orders {
		before, ordered := last[o.worker]
		if gap := o.at - before.at; ordered && before.machine != o.machine && gap < leaseMs*time.Millisecond {
			return true, fmt.Sprintf("%d orders; the %s machine orders worker %s %v after the %s one has; LeaseMs is %d", len(orders), o.machine, o.worker, gap, before.machine, leaseMs)
		}
		last[o.worker] = o
	}
	return false, fmt.Sprintf("%d orders, machine lost %t; no worker got orders of two machines within %d ms", len(orders), lost, leaseMs)
}
