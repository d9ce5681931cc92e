package trace

import (
	"container/heap"
	"time"
)

// epoch is the absolute time at which the trace starts. The packages under simulation
// expect absolute times.
var epoch = time.Unix(1_800_000_000, 0)

// clock runs events in order of time, and events of the same time in the order in
// which they were scheduled.
type clock struct {
	now    time.Duration
	order  int
	events events
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (c *clock) after(d time.Duration, do func()) { c.at(c.now+max(0, d), do) }

func (c *clock) at(at time.Duration, do func()) {
	c.order++
	heap.Push(&c.events, event{max(at, c.now), c.order, do})
}

// every calls do at start and then once per period until end.
func (c *clock) every(start, period, end time.Duration, do func()) {
	c.at(start, func() {
		do()
		if c.now+period < end {
			c.every(c.now+period, period, end, do)
		}
	})
}

func (c *clock) run() {
	for len(c.events) > 0 {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
}

func (c *clock) time() time.Time { return epoch.Add(c.now) }

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Pop() any {
	n := len(*e) - 1
	x := (*e)[n]
	(*e)[n], *e = event{}, (*e)[:n]
	return x
}

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// pipe is a FIFO channel with a rate in bytes per second and a delay.
type pipe struct {
	rate   float64
	delay  time.Duration
	freeAt time.Duration
	bytes  int64
}

// send queues bytes and returns the time at which they arrive.
func (p *pipe) send(now time.Duration, bytes int64) time.Duration {
	p.freeAt = max(p.freeAt, now) + seconds(float64(bytes)/p.rate)
	p.bytes += bytes
	return p.freeAt + p.delay
}

// carriedBytes returns the number of bytes that have left the pipe's queue.
func (p *pipe) carriedBytes(now time.Duration) int64 {
	return p.bytes - int64(max(0, p.freeAt-now).Seconds()*p.rate)
}

// transferTime returns how long bytes sent now would take to arrive.
func (p *pipe) transferTime(now time.Duration, bytes int64) time.Duration {
	return max(0, p.freeAt-now) + seconds(float64(bytes)/p.rate) + p.delay
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
