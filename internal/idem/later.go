package idem

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/target"
)

const (
	// maxLife bounds how long a host writes to a claim's row after the claim. It
	// is far below the retention, so that no late write meets a row that was
	// deleted and claimed again.
	maxLife = time.Hour
	// releaseTries bounds the writes of a withdrawal that the caller waits for.
	releaseTries = 2
)

// tasks counts the background writes.
type tasks struct {
	mu     sync.Mutex
	number int
	bytes  int
	active int
	held   int
}

func (t *tasks) take(bytes int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active >= t.number || t.held+bytes > t.bytes {
		return false
	}
	t.active++
	t.held += bytes
	return true
}

func (t *tasks) give(bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	t.held -= bytes
}

func (t *tasks) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active
}

// later repeats try in the background until it returns true, the claim's life
// ends or the host stops. It returns false if too much already waits.
func (c *Claims) later(bytes int, try func(context.Context) bool) bool {
	if !c.tasks.take(bytes) {
		return false
	}
	end := c.options.now().Add(maxLife)
	c.work.Add(1)
	go func() {
		defer c.work.Done()
		defer c.tasks.give(bytes)
		wait := backoff.NewExponentialBackOff()
		wait.InitialInterval, wait.MaxInterval = probeFirst, probeLast
		for c.batch.health.waitUp(c.ctx) == nil && c.options.now().Before(end) {
			if try(c.ctx) || pause.For(c.ctx, wait.NextBackOff()) != nil {
				return
			}
		}
	}()
	return true
}

// record writes the answer over the claim. Without it, a re-send to another host
// gets an unknown outcome, never a second dispatch.
func (c *Claims) record(key string, a Attempt, version uint64, answer target.Answer) {
	r := Record{
		State: Completed, Fence: a.Fence, Fingerprint: a.Fingerprint,
		At: c.options.now().UnixMilli(), Answer: answer,
	}
	if answerSize(answer) > c.options.answer {
		r.Answer, r.Large = target.Answer{}, true
	}
	op := c.row(key, a, Completed, version)
	op.Value = r.Encode()
	kept := c.later(len(op.Value), func(ctx context.Context) bool {
		res := c.batch.submit(ctx, op, c.options.now().Add(c.options.window), false)
		switch e := res.event.(type) {
		case Wrote:
			c.stats.recorded.Add(1)
			return true
		case Found:
			at, err := DecodeRecord(e.Row.Value)
			op.Version = e.Row.Version
			switch {
			case err != nil || at.Fence != a.Fence || at.State == Released:
				c.stats.dropped.Add(1)
				return true
			case at.State == Completed:
				c.stats.recorded.Add(1)
				return true
			}
		}
		return false
	})
	if !kept {
		c.stats.dropped.Add(1)
	}
}

// withdraw releases the claim of a call that ran nothing. If the release can't
// be confirmed soon, the outcome is unknown and the release goes on in the
// background.
func (c *Claims) withdraw(key string, a Attempt, version uint64, reason string) Outcome {
	for range releaseTries {
		var done, clear bool
		done, clear, version = c.releaseOnce(c.ctx, key, a, version, true)
		switch {
		case clear:
			return NotRun{Reason: reason, Retry: c.batch.health.retry()}
		case done:
			return Unknown{Reason: reason + "; another call has claimed the key since"}
		}
	}
	c.later(0, func(ctx context.Context) bool {
		done, _ := c.release(ctx, key, a, version, false)
		return done
	})
	return Unknown{Reason: reason + "; the claim could not be released yet"}
}

// release tries to release the claim, following the row's version.
func (c *Claims) release(ctx context.Context, key string, a Attempt, version uint64, urgent bool) (done, clear bool) {
	for range releaseTries {
		if done, clear, version = c.releaseOnce(ctx, key, a, version, urgent); done {
			break
		}
	}
	return done, clear
}

func (c *Claims) releaseOnce(
	ctx context.Context, key string, a Attempt, version uint64, urgent bool,
) (done, clear bool, next uint64) {
	res := c.batch.submit(ctx, c.row(key, a, Released, version), c.options.now().Add(c.options.window), urgent)
	switch e := res.event.(type) {
	case Wrote:
		return true, true, e.Version
	case Found:
		switch d := DecideWithdrawn(a.Fence, e.Row).(type) {
		case Resolved:
			return true, d.Clear, version
		case Write:
			return false, false, d.Version
		}
	}
	return false, false, version
}
