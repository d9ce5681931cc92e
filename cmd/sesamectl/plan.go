package main

import (
	"math/rand/v2"
	"time"
)

// planOptions describe a generated load.
type planOptions struct {
	Seed     uint64
	Rate     float64
	Duration time.Duration
	Accounts int
	// ReturningPrompts is the number of prompts that return at the same time.
	ReturningPrompts int
	// InitialTokens is the length of a new prompt, GrowthTokens the number of tokens
	// that each return adds, and MaxPromptTokens the length above which a new prompt
	// replaces it.
	InitialTokens   int
	GrowthTokens    int
	MaxPromptTokens int
	// MeanGap is the mean time between an arrival of a prompt and its return.
	MeanGap time.Duration
}

// arrival is one request of a plan.
type arrival struct {
	At      time.Duration
	Account int
	Prompt  int
	Tokens  int
}

// plan returns the arrivals of a load. They depend only on the options and not on
// the answers, so a slow deployment gets the same load as a fast one.
func plan(o planOptions) []arrival {
	r := rand.New(rand.NewPCG(o.Seed, 0))
	type returningPrompt struct {
		prompt int
		tokens int
		due    time.Duration
	}
	var prompts []returningPrompt
	var arrivals []arrival
	promptCount := 0
	for at := interarrivalTime(r, o.Rate); at < o.Duration; at += interarrivalTime(r, o.Rate) {
		earliest := -1
		for i, s := range prompts {
			if earliest < 0 || s.due < prompts[earliest].due {
				earliest = i
			}
		}
		// The prompt that is due earliest returns. If none is due and there are fewer
		// than ReturningPrompts, a new prompt starts.
		if earliest < 0 || prompts[earliest].due > at && len(prompts) < o.ReturningPrompts {
			prompts = append(prompts, returningPrompt{prompt: promptCount, tokens: o.InitialTokens - o.GrowthTokens})
			earliest, promptCount = len(prompts)-1, promptCount+1
		}
		s := &prompts[earliest]
		if s.tokens += o.GrowthTokens; s.tokens > o.MaxPromptTokens {
			*s = returningPrompt{prompt: promptCount, tokens: o.InitialTokens}
			promptCount++
		}
		s.due = at + time.Duration(r.ExpFloat64()*float64(o.MeanGap))
		arrivals = append(arrivals, arrival{At: at, Account: s.prompt % o.Accounts, Prompt: s.prompt, Tokens: s.tokens})
	}
	return arrivals
}

// interarrivalTime draws the time to the next arrival of a Poisson process.
func interarrivalTime(r *rand.Rand, rate float64) time.Duration {
	return time.Duration(r.ExpFloat64() / rate * float64(time.Second))
}

// promptTokens returns the first n tokens of a prompt. A longer prompt starts
// with the tokens of the shorter one.
func promptTokens(seed uint64, prompt, n int) []uint32 {
	p := rand.NewPCG(seed, uint64(prompt)+1)
	out := make([]uint32, n)
	for i := range out {
		// Token IDs below 32,768 exist in every common vocabulary.
		out[i] = uint32(p.Uint64() >> 49)
	}
	return out
}
