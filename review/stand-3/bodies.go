//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Each client of a crowd sends a body of bodyBytes: bodyFirst of them at once and the rest in
	// pieces of slowPiece bytes each slowPause; without the disruption all at once.
	bodyBytes = 60 << 10
	bodyFirst = 36000
	slowPiece = 260
	slowPause = 370 * time.Millisecond
)

// crowd is clients that send legal bodies, one after the other, each on a new connection.
type crowd struct {
	rig *rig
	// begun and ended count requests.
	begun, ended atomic.Int64
	group        sync.WaitGroup
}

// startCrowd starts a number of clients, which send until ctx ends.
func (r *rig) startCrowd(ctx context.Context, clients int) *crowd {
	c := &crowd{rig: r}
	for n := range clients {
		c.group.Go(func() {
			for try := 0; ctx.Err() == nil; try++ {
				c.begun.Add(1)
				c.send(ctx, fmt.Sprintf("%08x%08x", 0x10000000+n, try))
				c.ended.Add(1)
			}
		})
	}
	return c
}

// send sends one request.
func (c *crowd) send(ctx context.Context, id string) {
	conn, err := net.DialTimeout("tcp", c.rig.front, time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	stopClose := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer func() {
		stopClose()
		_ = conn.Close()
	}()
	_, err = fmt.Fprintf(conn, "POST /puxa400/2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Model: %s\r\nX-Token-Usage: 10,4\r\nX-Prompt-Prefix: 5c1e07a2:10\r\nX-Deadline-Ms: 15000\r\nX-Api-Key: %s\r\nContent-Length: %d\r\n\r\n",
		routeHost, id, model, apiKey, bodyBytes)
	if err == nil {
		_, err = conn.Write(make([]byte, bodyFirst))
	}
	piece, pause := slowPiece, slowPause
	if !c.rig.trouble {
		piece, pause = bodyBytes, 0
	}
	for left := bodyBytes - bodyFirst; err == nil && left > 0 && ctx.Err() == nil; left -= piece {
		_, err = conn.Write(make([]byte, min(left, piece)))
		time.Sleep(pause)
	}
	if err == nil { // it waits for the answer
		_, _ = conn.Read(make([]byte, 4096))
	}
	if !c.rig.trouble {
		time.Sleep(time.Second)
	}
}
