package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// requestsPerRetry is the number of requests that earn one retry. Retries add at
	// most 10% to the load.
	requestsPerRetry = 10
	// maxBurstRetries is the capacity of a bucket in retries.
	maxBurstRetries = 10
	// maxAccounts bounds the account buckets of a host. The system is designed for
	// 10,000 accounts.
	maxAccounts = 16384
)

// bucket is a token bucket that counts tenths of a retry.
type bucket struct{ tenths int }

func newBucket() *bucket { return &bucket{tenths: maxBurstRetries * requestsPerRetry} }

func (b *bucket) add()           { b.tenths = min(b.tenths+1, maxBurstRetries*requestsPerRetry) }
func (b *bucket) hasRetry() bool { return b.tenths >= requestsPerRetry }
func (b *bucket) spend()         { b.tenths -= requestsPerRetry }

// Policy holds the retry budgets of one host.
type Policy struct {
	mu       sync.Mutex
	host     *bucket
	accounts *lru.LRU[string, *bucket]
	stats    Stats
}

// Stats holds counters since the start of the host.
type Stats struct {
	Requests int64 `json:"requests"`
	Retries  int64 `json:"retries"`
	Resumes  int64 `json:"resumes"`
	GivenUp  int64 `json:"givenup"`
	// Exhausted counts the decisions with an empty account or host bucket.
	Exhausted int64 `json:"exhausted"`
}

// New returns a policy whose buckets are full.
func New() *Policy {
	l, err := lru.NewLRU[string, *bucket](maxAccounts, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	return &Policy{host: newBucket(), accounts: l}
}

// AddRequest credits a new request to the buckets of the account and the host.
func (p *Policy) AddRequest(account string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Requests++
	p.host.add()
	p.account(account).add()
}

// Next decides what follows a failed attempt. It sets Input.HasBudget, and takes a
// token from both buckets for a retry or a resume.
func (p *Policy) Next(account string, i Input, now time.Time, r *rand.Rand) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(account)
	i.HasBudget = a.hasRetry() && p.host.hasRetry()
	if !i.HasBudget {
		p.stats.Exhausted++
	}
	d := Decide(i, now, r)
	switch d.(type) {
	case GiveUp:
		p.stats.GivenUp++
		return d
	case Resume:
		p.stats.Resumes++
	case Retry:
		p.stats.Retries++
	}
	a.spend()
	p.host.spend()
	return d
}

// Stats returns the counters.
func (p *Policy) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// account returns the bucket of an account, or a new one that is full.
func (p *Policy) account(name string) *bucket {
	b, ok := p.accounts.Get(name)
	if !ok {
		b = newBucket()
		p.accounts.Add(name, b)
	}
	return b
}
