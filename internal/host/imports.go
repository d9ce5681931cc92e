package host

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"sesamehill.example/sesamehill/internal/retain"
	"sesamehill.example/sesamehill/internal/route"
	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/chain"
)

const (
	// pinTTL is longer than an import of several blocks. It expires the pin of a host
	// that died.
	pinTTL = 30 * time.Second
	// maxConcurrentImports bounds the concurrent block imports of one request; more
	// would only share the store's link.
	maxConcurrentImports = 4
	// initialStoreRate is the assumed rate of a store in bytes a second until an
	// import is measured: a tenth of a 10 Gbit/s network.
	initialStoreRate = 125e6
	// newestRateWeight is the weight of the newest import in the moving average of
	// the rate, which reveals a store at a tenth of its rate after a few imports.
	newestRateWeight = 0.5
)

// rates holds the measured rates of stores in bytes a second.
type rates struct {
	mu             sync.Mutex
	bytesPerSecond map[string]float64
}

func (r *rates) get(name string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v, ok := r.bytesPerSecond[name]; ok {
		return v
	}
	return initialStoreRate
}

func (r *rates) addMeasurement(name string, rate float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.bytesPerSecond == nil {
		r.bytesPerSecond = map[string]float64{}
	}
	if v, ok := r.bytesPerSecond[name]; ok {
		rate = v + newestRateWeight*(rate-v)
	}
	r.bytesPerSecond[name] = rate
}

// importBlocks copies blocks from a store into an engine. It stops after the first
// block that fails a check; the engine recomputes that block and the following ones.
// Requests that need the same block at the same engine share one transfer.
func (h *Host) importBlocks(ctx context.Context, q *request, d route.Import) {
	parent, cancel := context.WithDeadline(ctx, q.startBy)
	defer cancel()
	store, address := h.fleet.store(d.Store)
	engine := h.fleet.engine(d.Target)
	if store == nil || engine == nil {
		return
	}
	g, ctx := errgroup.WithContext(parent)
	g.SetLimit(maxConcurrentImports)
	start, copied := time.Now(), atomic.Int64{}
	for i := d.From; i < d.To; i++ {
		g.Go(func() error {
			_, err, _ := h.transfers.Do(d.Target+"/"+q.keys[i].String(), func() (any, error) {
				return nil, h.importBlock(ctx, q, store, address, engine, i)
			})
			if err == nil {
				copied.Add(1)
			}
			return err
		})
	}
	err := g.Wait()
	counters.Add("imports", copied.Load())
	if err != nil {
		counters.Add("imports_failed", 1)
		var missing *target.MissingError
		if !errors.As(err, &missing) && parent.Err() == nil {
			h.fleet.markFailed(d.Store, time.Now())
		}
		return
	}
	h.storeRates.addMeasurement(d.Store, float64(copied.Load()*q.active.document.Deployment.BlockBytes)/time.Since(start).Seconds())
}

// importBlock pins a block at the store while the engine copies it. The engine
// verifies generation, length, checksum and that the pin has not expired.
func (h *Host) importBlock(
	ctx context.Context, q *request, store target.Store, address string, engine target.Engine, i int,
) error {
	key := q.keys[i]
	now := time.Now()
	state, actions := retain.Begin(retain.Request{Key: key, TTL: pinTTL, Deadline: q.startBy}, now)
	var failure error
	for len(actions) > 0 {
		next := actions[0]
		actions = actions[1:]
		var input retain.Input
		switch a := next.(type) {
		case retain.RequestPin:
			pin, err := store.Pin(ctx, key, a.TTL)
			input, failure = retain.Pinned{Pin: pin}, err
		case retain.Transfer:
			err := engine.Import(ctx, target.ImportOrder{
				Store: address, Account: q.account.Name, Key: key, ShardKey: q.keys[0], Pin: a.Pin,
			})
			input, failure = retain.Transferred{Generation: a.Pin.Generation, Length: a.Pin.Length, Checksum: a.Pin.Checksum}, err
		case retain.Unpin:
			h.unpin(ctx, store, key, a.ID)
		case retain.Recompute:
			if failure == nil {
				failure = errors.New(a.Reason)
			}
		case retain.Use:
		}
		if input != nil && failure != nil {
			input = retain.Failed{}
		}
		if input != nil {
			var nextActions []retain.Action
			state, nextActions = retain.Step(state, input, time.Now())
			actions = append(actions, nextActions...)
		}
	}
	return errors.Trace(failure)
}

// unpin releases a pin. If that fails, the pin expires with its time to live.
func (h *Host) unpin(ctx context.Context, store target.Store, key chain.Key, id string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	if err := store.Unpin(ctx, key, id); err != nil {
		counters.Add("unpins_failed", 1)
	}
}
