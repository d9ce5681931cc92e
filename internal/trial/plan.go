package trial

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sesamehill.example/sesamehill/platform/stand"
)

// arrival is one planned request.
type arrival struct {
	at      time.Duration
	kind    *Kind
	request stand.Request
}

// plan returns the arrivals of a pattern. They depend only on the pattern and the
// seed and not on answers, so a slow deployment gets the same load as a fast one.
func plan(p Pattern, seed uint64) []arrival {
	var out []arrival
	for i := range p.Kinds {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		out = append(out, planKind(p, &p.Kinds[i], random)...)
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	for i := range out {
		r := &out[i].request
		r.ID = fmt.Sprintf("%08x%08x", seed, i)
		r.Parts[len(r.Parts)-1].ID = r.ID
	}
	return out
}

// planKind returns the arrivals of one kind. It draws them at the highest rate and
// drops some while the rate is lower, so that a change of rate does not shift later
// random draws.
func planKind(p Pattern, k *Kind, random *rand.Rand) []arrival {
	maxRate := k.Rate
	for _, c := range p.Change {
		if c.Kind == Burst && c.RequestKind == k.Name {
			maxRate = max(maxRate, k.Rate*c.Factor)
		}
	}
	shares := popularity(k)
	end := time.Duration(p.Seconds * float64(time.Second))
	var out []arrival
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / maxRate * float64(time.Second))
		if at >= end {
			return out
		}
		acceptDraw, affinityKey := random.Float64(), pickByShare(shares, random.Float64())
		rate, hotDraw := k.Rate, random.Float64()
		for _, c := range p.Change {
			if c.RequestKind != k.Name || !c.activeAt(at) {
				continue
			}
			if c.Kind == Burst {
				rate *= c.Factor
			}
			if c.Kind == Hot && hotDraw < c.Factor {
				affinityKey = 0
			}
		}
		if acceptDraw*maxRate < rate {
			out = append(out, arrival{at: at, kind: k, request: k.request(affinityKey)})
		}
	}
}

// request returns a request with an affinity key. The ID of the request's own part is
// not set yet.
func (k *Kind) request(affinityKey int) stand.Request {
	r := stand.Request{Kind: k.Name, Key: accountKey, OutputTokens: k.OutputTokens, Timeout: k.Timeout.AsDuration()}
	for i, tokens := range k.SharedTokens {
		id := fmt.Sprintf("%s.%d.%d", k.Name, i, affinityKey)
		if i == 0 && len(k.SharedTokens) > 1 {
			id = k.Name + ".0" // the first of several parts is common to all affinity keys
		}
		r.Parts = append(r.Parts, stand.Part{ID: id, Tokens: tokens})
	}
	r.Parts = append(r.Parts, stand.Part{Tokens: k.OwnTokens})
	return r
}

// popularity returns the cumulative request shares of a kind's affinity keys.
func popularity(k *Kind) []float64 {
	out := make([]float64, k.AffinityKeys)
	total := 0.0
	for i := range out {
		total += math.Pow(float64(i+1), -k.Skew)
		out[i] = total
	}
	for i := range out {
		out[i] /= total
	}
	return out
}

// pickByShare returns the affinity key for a random value in [0, 1).
func pickByShare(cumulative []float64, value float64) int {
	i, _ := slices.BinarySearch(cumulative, value)
	return min(i, len(cumulative)-1)
}
