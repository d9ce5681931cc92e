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

// arrival is one request of a plan.
type arrival struct {
	at      time.Duration
	kind    *Kind
	request stand.Request
}

// plan returns the arrivals of a pattern. They depend only on the pattern and the
// seed, never on answers: a slow deployment gets the same load as a fast one.
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

// planKind returns the arrivals of one kind. They are drawn at the highest rate
// and thinned out, so that a change of rate does not shift later draws.
func planKind(p Pattern, k *Kind, random *rand.Rand) []arrival {
	most := k.Rate
	for _, c := range p.Change {
		if c.Kind == Burst && c.Of == k.Name {
			most = max(most, k.Rate*c.By)
		}
	}
	popular := popularity(k)
	end := time.Duration(p.Seconds * float64(time.Second))
	var out []arrival
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / most * float64(time.Second))
		if at >= end {
			return out
		}
		keep, subject := random.Float64(), draw(popular, random.Float64())
		rate, hot := k.Rate, random.Float64()
		for _, c := range p.Change {
			if c.Of != k.Name || !c.during(at) {
				continue
			}
			if c.Kind == Burst {
				rate *= c.By
			}
			if c.Kind == Hot && hot < c.By {
				subject = 0
			}
		}
		if keep*most < rate {
			out = append(out, arrival{at: at, kind: k, request: k.request(subject)})
		}
	}
}

// request returns a request about a subject; its own part has no ID yet.
func (k *Kind) request(subject int) stand.Request {
	r := stand.Request{Kind: k.Name, Key: accountKey, OutputTokens: k.Out, Timeout: k.Within.AsDuration()}
	for i, tokens := range k.Shared {
		id := fmt.Sprintf("%s.%d.%d", k.Name, i, subject)
		if i == 0 && len(k.Shared) > 1 {
			id = k.Name + ".0" // the first of several parts is common to all subjects
		}
		r.Parts = append(r.Parts, stand.Part{ID: id, Tokens: tokens})
	}
	r.Parts = append(r.Parts, stand.Part{Tokens: k.Own})
	return r
}

// popularity returns the cumulated shares of a kind's subjects.
func popularity(k *Kind) []float64 {
	out := make([]float64, k.Subjects)
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

// draw returns the subject for a draw in [0, 1).
func draw(cumulated []float64, at float64) int {
	i, _ := slices.BinarySearch(cumulated, at)
	return min(i, len(cumulated)-1)
}
