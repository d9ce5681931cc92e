package idem

import "time"

// Option changes a default of New.
type Option func(*options)

type options struct {
	now                func() time.Time
	batchDelay         time.Duration
	dispatchWindow     time.Duration
	tableTimeout       time.Duration
	dispatchTimeout    time.Duration
	writesPerSecond    float64
	maxQueued          int
	maxAnswerBytes     int
	maxBackground      int
	maxBackgroundBytes int
	maxCacheKeys       int
	maxCacheBytes      int
	retention          time.Duration
	sweepInterval      time.Duration
	sweepRows          int
	maxCalls           int
}

func defaults() options {
	return options{
		now: time.Now,
		// 3 ms is short against a write of several milliseconds, and long enough to
		// collect the records of a burst in one transaction.
		batchDelay:     3 * time.Millisecond,
		dispatchWindow: 5 * time.Second,
		tableTimeout:   time.Second,
		// A service call that takes longer than a minute gets an unknown outcome.
		dispatchTimeout: time.Minute,
		// Seven hosts at 40 each stay below 300 writes a second.
		writesPerSecond:    40,
		maxQueued:          1024,
		maxAnswerBytes:     64 << 10,
		maxBackground:      1024,
		maxBackgroundBytes: 8 << 20,
		maxCacheKeys:       16384,
		maxCacheBytes:      8 << 20,
		retention:          24 * time.Hour,
		sweepInterval:      10 * time.Second,
		sweepRows:          100,
		maxCalls:           4096,
	}
}

// WithAnswerLimit sets the size in bytes of the largest answer that is recorded. The default
// is 64 KB.
func WithAnswerLimit(bytes int) Option { return func(o *options) { o.maxAnswerBytes = bytes } }

// WithBackground bounds the background writes (answers and releases) by number and
// bytes. The default is 1,024 and 8 MB.
func WithBackground(number, bytes int) Option {
	return func(o *options) { o.maxBackground, o.maxBackgroundBytes = number, bytes }
}

// WithBatchDelay sets how long the batcher collects writes for one transaction. The
// default is 3 ms.
func WithBatchDelay(d time.Duration) Option { return func(o *options) { o.batchDelay = d } }

// WithCache bounds the cache of outcomes by number and bytes. The default
// is 16,384 and 8 MB.
func WithCache(number, bytes int) Option {
	return func(o *options) { o.maxCacheKeys, o.maxCacheBytes = number, bytes }
}

// WithClock sets the clock. It must return times with a monotonic reading, as
// time.Now does.
func WithClock(now func() time.Time) Option { return func(o *options) { o.now = now } }

// WithConcurrency bounds the calls in flight. The default is 4,096.
func WithConcurrency(n int) Option { return func(o *options) { o.maxCalls = n } }

// WithDispatchLimit sets the longest time that a dispatch may take if the
// caller's context has no deadline. The default is 1 min.
func WithDispatchLimit(d time.Duration) Option { return func(o *options) { o.dispatchTimeout = d } }

// WithQueue bounds the calls whose records wait to be written. The default is 1,024.
func WithQueue(n int) Option { return func(o *options) { o.maxQueued = n } }

// WithRetention sets how long a record is kept after its last write. The
// default is 24 h.
func WithRetention(d time.Duration) Option { return func(o *options) { o.retention = d } }

// WithSweep sets the interval of the sweep of expired rows and the number of
// rows that one step reads. The default is 10 s and 100.
func WithSweep(interval time.Duration, rows int) Option {
	return func(o *options) { o.sweepInterval, o.sweepRows = interval, rows }
}

// WithTimeout sets the deadline of one table operation. The default is 1 s.
func WithTimeout(d time.Duration) Option { return func(o *options) { o.tableTimeout = d } }

// WithWriteRate sets this host's share of the platform's writes a second. The
// default is 40.
func WithWriteRate(perSecond float64) Option {
	return func(o *options) { o.writesPerSecond = perSecond }
}
