// Package pause waits for a duration or until a context ends.
//
// # Usage
//
//	if err := pause.For(ctx, delay); err != nil {
//		return err // ctx has ended
//	}
package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// Jitter returns a random duration within 25% of d, so that hosts which started at
// the same time do not act at the same time.
func Jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d*3/4 + time.Duration(rand.Int64N(int64(d/2)+1))
}

// For waits for d. It returns the error of ctx if ctx ends first.
func For(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
