//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// partClients is the number of clients, each with one kept connection, and partRequests the
	// number of requests that they send together.
	partClients  = 24
	partRequests = 20000
	// commonParts is the number of parts that all prompts have in common. The head of a request
	// stays within MaxHeaderBytes.
	commonParts = 1290
	partTokens  = 8
	// promptTokens is the length of each prompt.
	promptTokens = (commonParts + 2) * partTokens
)

// playParts sends prompts of about 10,400 tokens: of 3 parts without the disruption, of 1,292 short
// parts with it. In both cases the last two parts of each prompt are its own.
func playParts(r *rig) {
	w := r.newWorker("i-7f3a91c2", llmService, "", time.Now().UnixMilli(), 0)
	w.put("ready", 1)
	r.putConfig(streamRoute())
	r.startHost()

	common := fmt.Sprintf("5c1e07a2:%d,", commonParts*partTokens)
	if r.trouble {
		var list strings.Builder
		for i := range commonParts {
			_, _ = fmt.Fprintf(&list, "%08x:%d,", 0x5c000000+i, partTokens)
		}
		common = list.String()
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var next, whole, refused, cut atomic.Int64
	var group sync.WaitGroup
	for range partClients {
		group.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for n := next.Add(1); n <= partRequests && ctx.Err() == nil; n = next.Add(1) {
				prefix := common + fmt.Sprintf("%08x:%d,%08x:%d", 0x10000000+n, partTokens, 0x70000000+n, partTokens)
				switch status, complete := r.sendStream(client, fmt.Sprintf("%016x", n), promptTokens, prefix); {
				case status == http.StatusOK && complete:
					whole.Add(1)
				case status == 0 || status == http.StatusOK:
					cut.Add(1)
				default:
					refused.Add(1)
				}
			}
		})
	}
	finished := make(chan struct{})
	go func() {
		group.Wait()
		close(finished)
	}()
	peak, nextLine := 0, time.Now()
	for {
		now := r.resident()
		peak = max(peak, now)
		if time.Now().After(nextLine) {
			nextLine = time.Now().Add(time.Second)
			r.record("resident %d MB; sent %d, run %d, answered whole %d, refused %d, cut %d", now, next.Load(), w.ranCount(), whole.Load(), refused.Load(), cut.Load())
		}
		if now > memoryMB {
			r.record("the process holds %d MB of its machine's %d MB: the platform kills it", now, memoryMB)
			_ = r.cmd.Process.Signal(syscall.SIGKILL)
			<-r.exited
			stop()
			<-finished
			r.finish(true, "the process exceeded the memory of its machine after %d requests; answered whole %d, refused %d, cut %d", w.ranCount(), whole.Load(), refused.Load(), cut.Load())
		}
		select {
		case <-r.exited:
			r.finish(true, "the process ended by itself after %d requests", w.ranCount())
		case <-finished:
			r.finish(false, "peak %d MB of %d MB; sent %d, run %d, answered whole %d, refused %d, cut %d", peak, memoryMB, partRequests, w.ranCount(), whole.Load(), refused.Load(), cut.Load())
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// sendStream sends a request for a stream and reports its status and whether it came whole.
func (r *rig) sendStream(client *http.Client, id string, tokens int, prefix string) (status int, complete bool) {
	req, err := http.NewRequest(http.MethodPost, "http://"+r.front+"/puxa400/2f", strings.NewReader("prompt"))
	r.must(err)
	req.Host = routeHost
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Model": model, "X-Token-Usage": fmt.Sprintf("%d,4", tokens), "X-Prompt-Prefix": prefix, "X-Deadline-Ms": "15000", "X-Api-Key": apiKey,
	} {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	events, lines := 0, bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			events++
		}
	}
	return resp.StatusCode, lines.Err() == nil && events == 4
}
