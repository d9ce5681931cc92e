package idem

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"sesamehill.example/sesamehill/internal/pause"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/target"
)

const (
	// maxRetryTime bounds how long a host retries a background write. It is far below
	// the retention, so that no delayed write reaches a row that was deleted and
	// then written again by another call.
	maxRetryTime = time.Hour
	// maxReleaseAttempts bounds the release writes that the caller waits for.
	maxReleaseAttempts = 2
)

// backgroundWrites limits and counts the background writes.
type backgroundWrites struct {
	mu          sync.Mutex
	maxActive   int
	maxBytes    int
	active      int
	activeBytes int
}

func (t *backgroundWrites) reserve(bytes int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active >= t.maxActive || t.activeBytes+bytes > t.maxBytes {
		return false
	}
	t.active++
	t.activeBytes += bytes
	return true
}

func (t *backgroundWrites) release(bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	t.activeBytes -= bytes
}

func (t *backgroundWrites) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active
}

// retryInBackground calls write in the background until write returns true,
// maxRetryTime has passed or the host stops. It returns false if the limit of
// background writes is reached.
func (c *Claims) retryInBackground(bytes int, write func(context.Context) bool) bool {
	if !c.background.reserve(bytes) {
		return false
	}
	deadline := c.options.now().Add(maxRetryTime)
	c.work.Add(1)
	go func() {
		defer c.work.Done()
		defer c.background.release(bytes)
		intervals := backoff.NewExponentialBackOff()
		intervals.InitialInterval, intervals.MaxInterval = minProbeInterval, maxProbeInterval
		for c.batch.health.waitUp(c.ctx) == nil && c.options.now().Before(deadline) {
			if write(c.ctx) || pause.For(c.ctx, intervals.NextBackOff()) != nil {
				return
			}
		}
	}()
	return true
}

// recordAnswer adds the answer to the idempotency record in the background. If the
// write fails, a retry at another host gets an unknown outcome, never a second
// dispatch.
func (c *Claims) recordAnswer(key string, a Attempt, version uint64, answer target.Answer) {
	r := Record{
		State: Completed, Fence: a.Fence, Fingerprint: a.Fingerprint,
		At: c.options.now().UnixMilli(), Answer: answer,
	}
	if answerSize(answer) > c.options.maxAnswerBytes {
		r.Answer, r.Large = target.Answer{}, true
	}
	c.recent.add(key, r)
	op := table.Op{Key: key, Version: version, Value: r.Encode()}
	queued := c.retryInBackground(len(op.Value), func(ctx context.Context) bool {
		done, recorded := c.writeRecord(ctx, r, &op)
		switch {
		case recorded:
			c.stats.recorded.Add(1)
		case done:
			c.stats.dropped.Add(1)
		}
		return done
	})
	if !queued {
		c.stats.dropped.Add(1)
	}
}

// withdraw releases the idempotency record of a call that ran nothing. If the
// release isn't confirmed after maxReleaseAttempts, the outcome is unknown and the
// release is retried in the background.
func (c *Claims) withdraw(key string, a Attempt, version uint64, reason string) Outcome {
	c.recent.remove(key)
	for range maxReleaseAttempts {
		var done, keyFree bool
		done, keyFree, version = c.releaseOnce(c.ctx, key, a, version, true)
		switch {
		case keyFree:
			return NotRun{Reason: reason, Retry: c.batch.health.retryAfter()}
		case done:
			return Unknown{Reason: reason + "; another call has taken the key since"}
		}
	}
	c.retryInBackground(0, func(ctx context.Context) bool {
		done, _ := c.release(ctx, key, a, version, false)
		return done
	})
	return Unknown{Reason: reason + "; the idempotency record could not be released yet"}
}

// release tries to release the idempotency record. After a conflict it retries at
// the row's new version.
func (c *Claims) release(ctx context.Context, key string, a Attempt, version uint64, urgent bool) (done, keyFree bool) {
	for range maxReleaseAttempts {
		if done, keyFree, version = c.releaseOnce(ctx, key, a, version, urgent); done {
			break
		}
	}
	return done, keyFree
}

func (c *Claims) releaseOnce(
	ctx context.Context, key string, a Attempt, version uint64, urgent bool,
) (done, keyFree bool, next uint64) {
	res := c.batch.submit(ctx, c.recordWrite(key, a, Released, version), c.options.now().Add(c.options.dispatchWindow), urgent)
	switch e := res.event.(type) {
	case Wrote:
		return true, true, e.Version
	case Found:
		switch d := DecideRelease(a.Fence, e.Row).(type) {
		case Resolved:
			return true, d.KeyFree, version
		case Write:
			return false, false, d.Version
		}
	}
	return false, false, version
}
