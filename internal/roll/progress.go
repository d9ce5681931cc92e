package roll

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/verlog"
)

const (
	// publishInterval is the time between two publications while engines load.
	publishInterval = time.Second
	// loadedTTL is how long a loaded engine is published as such; the platform's
	// list of targets may take that long to show the new weights.
	loadedTTL = 8 * time.Second
)

// LoadingTTL is how long hosts act on a published Progress.
const LoadingTTL = 2500 * time.Millisecond

// Progress is the state of the engines that the lease holder orders.
type Progress struct {
	// Loading are the engines that should receive no requests.
	Loading []string `json:"loading" cbor:"1,keyasint,omitempty"`
	// Loaded maps engines to their weight versions by model.
	Loaded map[string]map[string]int `json:"loaded" cbor:"2,keyasint,omitempty"`
	// FencingToken is that of the holder's lease, and Number counts the states that the
	// holder has stated. Together they order the states of all holders.
	FencingToken uint64 `json:"fence,omitempty" cbor:"3,keyasint,omitempty"`
	Number       uint64 `json:"number,omitempty" cbor:"4,keyasint,omitempty"`
}

// Before reports whether the state is older than another one. States of holders that
// state no fencing token have no order.
func (p Progress) Before(o Progress) bool {
	switch {
	case p.FencingToken == 0 || o.FencingToken == 0:
		return false
	case p.FencingToken != o.FencingToken:
		return p.FencingToken < o.FencingToken
	}
	return p.Number < o.Number
}

// ProgressError reports progress that no lease holder writes.
type ProgressError struct {
	Engine  string
	Version int
}

// Error names the engine, the version and the remedy.
func (e *ProgressError) Error() string {
	return fmt.Sprintf("progress has weight version %d of engine %.40q; it is ignored, run the same version on all hosts", e.Version, e.Engine)
}

// Check returns a *ProgressError if a weight version is out of range.
func (p Progress) Check() error {
	for engine, versions := range p.Loaded {
		for _, v := range versions {
			if v < 0 || v > verlog.MaxNumber {
				return &ProgressError{Engine: engine, Version: v}
			}
		}
	}
	return nil
}

// publish sends the progress to the other hosts if it is due. A failed call is
// retried after the next plan.
func (r *Roller) publish(ctx context.Context) {
	p, ok := r.dueProgress(r.now())
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	if err := r.publisher.Publish(ctx, p); err != nil {
		r.log.Warn("rollout progress not published; retrying after the next plan", zap.Error(err))
		r.mu.Lock()
		r.unpublished = true
		r.mu.Unlock()
	}
}

// dueProgress returns the progress to publish now; false if none is due.
func (r *Roller) dueProgress(now time.Duration) (Progress, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.unpublished && (len(r.outOfService()) == 0 || now-r.publishedAt < publishInterval) {
		return Progress{}, false
	}
	r.unpublished, r.publishedAt = false, now
	return r.currentProgress(now), true
}

// Progress returns the progress of this host's orders; nil if there are none.
func (r *Roller) Progress() *Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.outOfService()) == 0 && len(r.loaded) == 0 {
		return nil
	}
	p := r.currentProgress(r.now())
	return &p
}

// currentProgress returns which engines are loading and which have loaded within
// loadedTTL. The caller holds mu.
func (r *Roller) currentProgress(now time.Duration) Progress {
	r.number++
	p := Progress{
		Loading: r.outOfService(), Loaded: make(map[string]map[string]int, len(r.loaded)), FencingToken: r.token, Number: r.number,
	}
	for id, l := range r.loaded {
		if now-l.loadedAt > loadedTTL {
			delete(r.loaded, id)
			continue
		}
		p.Loaded[id] = l.versions
	}
	return p
}

// outOfService returns the engines that get no requests for an order. The caller holds mu.
func (r *Roller) outOfService() (ids []string) {
	for id, o := range r.orders {
		if o.outOfService() {
			ids = append(ids, id)
		}
	}
	return ids
}
