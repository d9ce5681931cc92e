package trace

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zeebo/blake3"

	"sesamehill.example/sesamehill/pkg/chain"
)

const (
	// gapMedian and gapSpread are the parameters of the log-normal time between the
	// visits of a prompt: 5% are shorter than 3 min and 5% longer than 66 min.
	gapMedian = 15 * time.Minute
	gapSpread = 0.9
	gapMin    = time.Minute
	// sizeMedianTokens and sizeSpread are the parameters of the log-normal length of
	// a new prompt.
	sizeMedianTokens = 32_000
	sizeSpread       = 0.6
	sizeMinTokens    = 2000
	// newShare is the share of visits with a new prompt.
	newShare = 0.1
	// growShare is the share of returning visits with a longer prompt, by up to
	// growMaxTokens.
	growShare     = 0.4
	growMaxTokens = 6000
	// otherRegionShare is the share of visits outside the home region of a prompt.
	otherRegionShare = 0.1
	// outputMaxTokens is the maximum length of an answer.
	outputMaxTokens = 300
)

// visit is one request of the trace.
type visit struct {
	at      time.Duration
	account int
	// tokens is the length of the prompt, and previousTokens its length at the
	// previous visit.
	tokens         int
	previousTokens int
	// gap is the time since the previous visit.
	gap    time.Duration
	keys   []chain.Key
	region int
	output int
	// hostDraw is a random number that selects the host.
	hostDraw uint64
}

// meanSize and meanGap are the means of the log-normal distributions. Growth adds
// 11% to the sizes in the measured part.
func meanSize() float64 { return 1.11 * sizeMedianTokens * math.Exp(sizeSpread*sizeSpread/2) }
func meanGap() float64  { return gapMedian.Seconds() * math.Exp(gapSpread*gapSpread/2) }

// visits returns the trace in order of time. Every slot of an account is a
// sequence of prompts with its own random source, so a flooding account does not
// change the visits of the other accounts.
func visits(s *Setup, seed uint64) []visit {
	rate := utilization * float64(s.Engines) * prefillTokensPerSecond / meanSize()
	if s.Scenario == Double {
		rate *= 2
	}
	flood := s.Scenario == Flood || s.Scenario == FloodLarge
	total := 0
	for _, a := range s.Document.Accounts {
		total += a.Concurrency
	}
	var out []visit
	for i, a := range s.Document.Accounts {
		slots := int(math.Round(rate * meanGap() * float64(a.Concurrency) / float64(total)))
		if flood && i == s.FloodingAccount() {
			slots *= floodFactor
		}
		for j := range slots {
			r := rand.New(rand.NewPCG(seed, uint64(i)<<32|uint64(j)))
			out = append(out, slotVisits(s, r, i, j)...)
		}
	}
	slices.SortStableFunc(out, func(a, b visit) int { return int(a.at - b.at) })
	return out
}

func slotVisits(s *Setup, r *rand.Rand, account, slot int) []visit {
	var out []visit
	var v visit
	homeRegion, prompt := 0, 0
	gap := func() time.Duration {
		return max(gapMin, time.Duration(float64(gapMedian)*math.Exp(gapSpread*r.NormFloat64())))
	}
	maxTokens := s.Document.Limits.Prompt
	wait := time.Duration(r.Float64() * float64(gap()))
	for at := wait; at < s.WarmUp+s.Measured; at += wait {
		if v.tokens == 0 || r.Float64() < newShare {
			size := sizeMedianTokens * math.Exp(sizeSpread*r.NormFloat64())
			v = visit{account: account, tokens: int(min(float64(maxTokens), max(sizeMinTokens, size)))}
			prompt++
			homeRegion = 0
			// Demand follows the engines: one zone in three is in the second region.
			if r.IntN(3) == 0 {
				homeRegion = 1
			}
		} else {
			v.previousTokens, v.gap = v.tokens, wait
			if r.Float64() < growShare {
				v.tokens = min(maxTokens, v.tokens+1+r.IntN(growMaxTokens))
			}
		}
		v.at, v.region, v.output, v.hostDraw = at, homeRegion, 1+r.IntN(outputMaxTokens), r.Uint64()
		if r.Float64() < otherRegionShare {
			v.region = 1 - homeRegion
		}
		v.keys = blockKeys(account, slot, prompt, v.tokens/s.Document.Deployment.BlockTokens)
		out = append(out, v)
		wait = gap()
	}
	return out
}

// blockKeys is a fast replacement for chain.Keys, whose hashing of 160 KB per visit
// would take most of the run time.
func blockKeys(account, slot, prompt, n int) []chain.Key {
	keys := make([]chain.Key, n)
	var b [32]byte
	for i := range keys {
		for j, x := range []int{account, slot, prompt, i} {
			binary.LittleEndian.PutUint64(b[8*j:], uint64(x))
		}
		keys[i] = blake3.Sum256(b[:])
	}
	return keys
}
