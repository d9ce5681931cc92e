package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	softwareWorkers = 6
	softwareSlots   = 8
	softwareClients = 36
	// upgraded is the number of workers that start again with new software while the store
	// turns the host away; the last of them does so once the others are back.
	upgraded = 3
	awayFor  = 9 * time.Second
	// exitAfter is how long a worker serves after its report that it leaves, and startAfter
	// the time from its exit to its start.
	exitAfter  = drainMs*time.Millisecond + 300*time.Millisecond
	startAfter = time.Second
	upgradeGap = time.Second
	lastGap    = 4400 * time.Millisecond
	// allowedMixed is the number of streams that may hold events of two software versions.
	allowedMixed = 2
)

// playSoftware upgrades workers in place, one after the other, while the store turns one of
// three hosts away. A stream may go on only at the software version that began it.
func playSoftware(s *stage) (bool, string) {
	s.putConfig(3, tenant{Name: "alfa", APIKeys: []string{"key-alfa"}})
	var workers []*Worker
	for i := range softwareWorkers {
		k := s.newWorker(fmt.Sprintf("i-llm-%d", i))
		k.events, k.gap = 30, 150*time.Millisecond
		k.slots = softwareSlots
		k.Start("v1")
		workers = append(workers, k)
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
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	mixed, streams := 0, 0
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for c := range softwareClients {
		clients.Go(func() {
			time.Sleep(time.Duration(c) * 100 * time.Millisecond) // the streams begin at different times
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("s-%d-%d", c, n)
				a := do(s.record, hosts[0].Front, Request{
					ID: id, Key: "key-alfa", Path: "/history/x", Parts: fmt.Sprintf("a%d:400,b%d%d:200", c, c, n), Timeout: 15 * time.Second,
				}, 4*time.Second)
				versions := map[string]bool{}
				for _, e := range a.Events {
					versions[strings.Fields(e.Data)[1]] = true
				}
				mu.Lock()
				streams++
				if len(versions) > 1 {
					mixed++
					s.record.Add("stream %s holds events of %d software versions", id, len(versions))
				}
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(5 * time.Second)
	if s.trouble {
		s.store.TurnAway(hosts[0].Name, true)
		s.record.Add("the store turns host %s away", hosts[0].Name)
		time.AfterFunc(awayFor, func() {
			s.store.TurnAway(hosts[0].Name, false)
			s.record.Add("the store serves host %s again", hosts[0].Name)
		})
	}
	time.Sleep(200 * time.Millisecond)
	for i, k := range workers[:upgraded] {
		go func() {
			k.Drain()
			time.Sleep(exitAfter)
			k.Exit(true)
			time.Sleep(startAfter)
			k.Start("v2")
		}()
		if i == upgraded-2 {
			time.Sleep(lastGap)
			continue
		}
		time.Sleep(upgradeGap)
	}
	time.Sleep(awayFor)
	close(stop)
	clients.Wait()
	return mixed > allowedMixed, fmt.Sprintf("%d of %d streams hold events of two software versions; %d are allowed", mixed, streams, allowedMixed)
}
