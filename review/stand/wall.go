package main

import (
	"fmt"
	"sync"
	"time"
)

// configApply is the bound on a configuration.
const configApply = 2500 * time.Millisecond

// playWall makes a tenant dedicated by a configuration. Later another tenant sends prompts
// with parts that the first one has sent before.
func playWall(s *stage) (bool, string) {
	alfa, bravo := tenant{Name: "alfa", APIKeys: []string{"key-alfa"}}, tenant{Name: "bravo", APIKeys: []string{"key-bravo"}}
	s.putConfig(3, alfa, bravo)
	s.store.Put("op", "version/"+modelName, map[string]any{"Model": modelName, "Version": 1})
	var mu sync.Mutex
	dedicated, foreign := false, 0
	for i := range 2 {
		k := s.newWorker(fmt.Sprintf("i-llm-%d", i))
		k.events, k.gap = 3, 50*time.Millisecond
		k.onCached = func(_ *Worker, _, by, _, madeBy string) {
			mu.Lock()
			defer mu.Unlock()
			if dedicated && by != madeBy && (by == "alfa" || madeBy == "alfa") {
				foreign++
			}
		}
		k.Start("v1")
	}
	h := s.host("front-sul-a-1", "127.0.0.1")
	h.Start()
	h.AwaitReady()
	send := func(who string, n int) {
		do(s.record, h.Front, Request{
			ID: fmt.Sprintf("%s-%d", who, n), Key: "key-" + who, Path: "/history/x", Parts: fmt.Sprintf("a1:400,%s%d:200", who, n), Timeout: 5 * time.Second,
		}, 4*time.Second)
	}
	for n := range 6 {
		send("alfa", n)
	}
	if s.trouble {
		alfa.Dedicated = true
	}
	s.putConfig(7, alfa, bravo)
	time.Sleep(2 * configApply)
	mu.Lock()
	dedicated = s.trouble
	mu.Unlock()
	for n := range 6 {
		send("bravo", n)
	}
	mu.Lock()
	defer mu.Unlock()
	return foreign > 0, fmt.Sprintf("%d times a request used cached parts across the dedicated tenant's wall", foreign)
}
