package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/subcommands"

	"sesamehill.example/sesamehill/pkg/client"
)

const (
	keysVariable = "SESAMECTL_KEYS"
	// progressInterval is the time between two progress reports.
	progressInterval = 2 * time.Second
)

type loadCommand struct {
	hosts       string
	keyFile     string
	admin       string
	model       string
	max         int
	maxAttempts int
	maxInFlight int
	deadline    time.Duration
	json        bool
	planOptions
	replayOptions
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "measure a deployment with returning prompts" }

func (*loadCommand) Usage() string {
	return `sesamectl load [flags]
	Sends streamed completions at a fixed mean rate, whether or not earlier ones
	are answered (open loop). Prompts return after gaps and grow with each return;
	the seed determines their tokens and times. SESAMECTL_KEYS or the file of
	-keyfile holds the accounts' keys, separated by commas or line breaks.

	Prints the time to first token (from the planned time of sending), the gap
	between tokens, the recomputed share (the share of the tokens of an earlier,
	answered turn of the same prompt that were not served from KV cache), errors by
	kind, and requests a second. With the operator's key in SESAMECTL_KEY and the
	admin addresses of all hosts in -admin, it also prints the bytes that these hosts
	sent between regions during the load. An answer counts as complete only if no
	token is missing and its end marker was received. The exit code is 1 if any
	request failed.

	With -pattern, it replays the load pattern in a file instead. For each of
	-policies it starts hosts ("sesamed serve") as processes, with simulated engines
	and a simulated platform, and compares the results: answers in time, answers
	after their deadline, refused and failed requests, times, shared tokens that were
	prefilled again, and bytes sent between zones and regions. The seed determines the
	arrivals.

	Example, with "sesamed demo" running:
	  SESAMECTL_KEYS=keeper-key,borough-key sesamectl load -rate 20 -duration 30s -grow 32 -first 256
	Example with a load pattern:
	  sesamectl load -pattern internal/trial/testdata/burst.toml -policies cost,prefix,least,turns -plot burst.svg
`
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.hosts, "hosts", "127.0.0.1:8080", "`ADDRESSES` of the hosts for callers, separated by commas")
	f.StringVar(&c.keyFile, "keyfile", "", "`FILE` with the accounts' keys; default: "+keysVariable)
	f.StringVar(&c.admin, "admin", os.Getenv(adminVariable),
		"admin `ADDRESSES` of all hosts, to count the bytes sent between regions; default from "+adminVariable)
	f.StringVar(&c.model, "model", "advisor", "`MODEL` of the requests")
	f.IntVar(&c.max, "max", 32, "number of `TOKENS` to generate for each answer")
	f.IntVar(&c.maxAttempts, "tries", 1, "largest number of `ATTEMPTS` of each request and stream; with more than 1, refused requests are retried and broken streams resumed")
	f.IntVar(&c.maxInFlight, "inflight", 4000, "largest `NUMBER` of requests in flight; further ones are counted as errors")
	f.DurationVar(&c.deadline, "deadline", time.Minute, "`TIME` limit of one request")
	f.BoolVar(&c.json, "json", false, "print JSON")
	f.StringVar(&c.patternFile, "pattern", "", "replay the load pattern in `FILE` (TOML) against hosts that the command starts")
	f.StringVar(&c.policies, "policies", "cost", "with -pattern: placement `POLICIES` to compare: cost, prefix, least, turns")
	f.StringVar(&c.sesamedPath, "sesamed", "", "with -pattern: `PATH` of sesamed; default: the one in the directory of this program, then the one in PATH")
	f.StringVar(&c.plotFile, "plot", "", "with -pattern: plot the score of the requests by second to `FILE` (svg, png or pdf)")
	f.StringVar(&c.hostDirectory, "keep", "", "with -pattern: keep settings and logs of the hosts in `DIR`")
	f.Uint64Var(&c.Seed, "seed", 1, "`SEED` of the arrival times and prompts")
	f.Float64Var(&c.Rate, "rate", 10, "mean `NUMBER` of requests a second")
	f.DurationVar(&c.Duration, "duration", 10*time.Second, "`TIME` during which requests are sent")
	f.IntVar(&c.ReturningPrompts, "prompts", 50, "`NUMBER` of prompts that return at the same time")
	f.IntVar(&c.InitialTokens, "first", 512, "number of `TOKENS` of a new prompt")
	f.IntVar(&c.GrowthTokens, "grow", 64, "number of `TOKENS` that each return adds")
	f.IntVar(&c.MaxPromptTokens, "limit", 8192, "number of `TOKENS` above which a new prompt replaces a returning one")
	f.DurationVar(&c.MeanGap, "gap", 2*time.Second, "mean `TIME` between a prompt and its return")
}

func (c *loadCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.patternFile != "" && f.NArg() == 0 {
		return exitStatus(c.replay(ctx))
	}
	keys, err := c.validate(f)
	if err != nil {
		return exitStatus(err)
	}
	c.Accounts = len(keys)
	l := &loader{command: c, result: newResult(c, len(keys)), answeredTokens: map[int]int{}}
	for _, k := range keys {
		caller := client.NewCaller(splitList(c.hosts), k, client.WithMaxAttempts(c.maxAttempts))
		defer caller.Close()
		l.callers = append(l.callers, caller)
	}
	before, counted, err := linkBytes(ctx, c.admin)
	if err != nil {
		return exitStatus(err)
	}
	l.run(ctx, plan(c.planOptions))
	r := l.result.report()
	if counted && c.admin != "" {
		after, _, err := linkBytes(ctx, c.admin)
		if err != nil {
			return exitStatus(err)
		}
		r.LinkBytes = new(after - min(before, after))
	}
	if c.json {
		err = printJSON(r)
	} else {
		r.print()
	}
	if err == nil && r.Complete < r.Requests {
		return subcommands.ExitFailure
	}
	return exitStatus(err)
}

// validate checks the flags and returns the accounts' keys.
func (c *loadCommand) validate(f *flag.FlagSet) ([]string, error) {
	if err := checkNoArguments(f); err != nil {
		return nil, err
	}
	keys := splitList(os.Getenv(keysVariable))
	if c.keyFile != "" {
		b, err := os.ReadFile(c.keyFile)
		if err != nil {
			return nil, &usageError{"cannot read the keys: " + err.Error()}
		}
		keys = splitList(string(b))
	}
	for _, p := range []struct {
		invalid bool
		message string
	}{
		{len(keys) == 0, "no account key is given; set " + keysVariable + " or give -keyfile FILE"},
		{len(splitList(c.hosts)) == 0, "no host address is given; give -hosts ADDRESSES"},
		{c.Rate <= 0, "-rate must be above 0"},
		{c.Duration <= 0, "-duration must be above 0"},
		{c.MeanGap < 0, "-gap must not be negative"},
		{c.ReturningPrompts < 1 || c.InitialTokens < 1 || c.max < 1 || c.maxInFlight < 1, "-prompts, -first, -max and -inflight must be at least 1"},
		{c.GrowthTokens < 0 || c.MaxPromptTokens < c.InitialTokens, "-grow must not be negative, and -limit not below -first"},
	} {
		if p.invalid {
			return nil, &usageError{p.message}
		}
	}
	return keys, nil
}

// loader sends the requests of a plan.
type loader struct {
	command *loadCommand
	callers []*client.Caller
	result  *result

	mu sync.Mutex
	// answeredTokens is the length of the longest answered turn of each prompt, which
	// is the number of tokens whose KV cache a return could reuse.
	answeredTokens map[int]int
}

// run sends each request at its planned time and waits until all are answered.
func (l *loader) run(ctx context.Context, arrivals []arrival) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, l.command.maxInFlight)
	p := newProgress()
	defer p.end()
	start := time.Now()
	lastProgress := start
	for i, a := range arrivals {
		if !sleepUntil(ctx, start.Add(a.At)) {
			break
		}
		if time.Since(lastProgress) >= progressInterval {
			lastProgress = time.Now()
			done, failed := l.result.progress()
			p.show("%d of %d sent, %d complete, %d failed", i, len(arrivals), done, failed)
		}
		select {
		case slots <- struct{}{}:
		default:
			l.result.recordFailure(a.Account, "too many open requests")
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			l.request(ctx, a, start.Add(a.At))
		})
	}
	p.show("waiting for the requests in flight")
	wg.Wait()
	l.result.setElapsed(time.Since(start))
}

// sleepUntil waits until a time. It returns false if the context ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// request sends one request. Times are measured from the planned time, so that a
// delay of this program or of the host is included.
func (l *loader) request(ctx context.Context, a arrival, planned time.Time) {
	ctx, cancel := context.WithTimeout(ctx, l.command.deadline)
	defer cancel()
	l.mu.Lock()
	earlierTokens := l.answeredTokens[a.Prompt]
	l.mu.Unlock()
	s, err := l.callers[a.Account].Complete(ctx, client.Completion{
		Model: l.command.model, Tokens: promptTokens(l.command.Seed, a.Prompt, a.Tokens), MaxTokens: l.command.max,
	})
	if err != nil {
		l.result.recordFailure(a.Account, errorKind(ctx, err))
		return
	}
	defer s.Close()
	lastEvent := planned
	for n := 0; ; n++ {
		if _, err = s.Next(); err != nil {
			break
		}
		now := time.Now()
		if n == 0 {
			l.result.recordFirstToken(a.Account, now.Sub(lastEvent))
		} else {
			l.result.recordTokenGap(now.Sub(lastEvent))
		}
		lastEvent = now
	}
	if !errors.Is(err, io.EOF) {
		l.result.recordFailure(a.Account, errorKind(ctx, err))
		return
	}
	l.result.recordAnswer(a.Account, min(earlierTokens, a.Tokens), s.Usage(), s.Resumes())
	l.mu.Lock()
	l.answeredTokens[a.Prompt] = max(l.answeredTokens[a.Prompt], a.Tokens)
	l.mu.Unlock()
}

// errorKind returns the kind under which the report counts an error.
func errorKind(ctx context.Context, err error) string {
	var refused *client.RefusalError
	var broken *client.IncompleteError
	var unreachable *client.UnreachableError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return "deadline passed"
	case ctx.Err() != nil:
		return "interrupted"
	case errors.As(err, &broken):
		return "broken answer"
	case errors.As(err, &refused):
		execution := "outcome unknown"
		if refused.NotRun {
			execution = "not run"
		}
		return fmt.Sprintf("status %d %s, %s", refused.Status, refused.Kind, execution)
	case errors.As(err, &unreachable):
		return "unreachable"
	}
	return "other"
}

// sortedKinds returns the kinds of errors in order.
func sortedKinds(counts map[string]int) []string {
	var out []string
	for k := range counts {
		out = append(out, k)
	}
	slices.SortFunc(out, strings.Compare)
	return out
}
