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
	// reportTime is the time between two lines of progress.
	reportTime = 2 * time.Second
)

type loadCommand struct {
	hosts    string
	keyFile  string
	admin    string
	model    string
	max      int
	tries    int
	inflight int
	deadline time.Duration
	json     bool
	planOptions
	replayOptions
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "measure a deployment with returning prompts" }

func (*loadCommand) Usage() string {
	return `sesamectl load [flags]
	Sends streamed completions at a fixed mean rate, whether or not earlier ones
	are answered (open loop). Prompts grow and return after gaps; the seed
	determines them and their times. The accounts' keys, separated by commas or
	lines, are in SESAMECTL_KEYS or in -keyfile.

	Prints time to first token (from the planned time of sending), gap between
	tokens, recomputed share (of the tokens that an earlier answered turn of the
	same prompt had, those not served from kept state), errors by kind, and
	requests a second. With the operator's key in SESAMECTL_KEY and the admin
	addresses of all hosts in -admin, it also prints the bytes that these hosts
	sent between regions meanwhile. An answer counts as complete only if no token is missing
	and its end marker arrived. The exit code is 1 if any request failed.

	With -pattern, it plays the load pattern in a file instead: it starts hosts
	("sesamed serve") as processes, with stand-ins for engines and the platform,
	once for each of -policies, and compares what callers got: answers in time,
	late, refused and failed, times, shared tokens that were read again, bytes
	between zones and regions. The seed determines the arrivals.

	Example, with "sesamed demo" running:
	  SESAMECTL_KEYS=keeper-key,borough-key sesamectl load -rate 20 -duration 30s -grow 32 -first 256
	Example with a pattern:
	  sesamectl load -pattern internal/trial/testdata/burst.toml -policies cost,prefix,least,turns -plot burst.svg
`
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.hosts, "hosts", "127.0.0.1:8080", "callers' `ADDRESSES` of hosts, separated by commas")
	f.StringVar(&c.keyFile, "keyfile", "", "`FILE` with the accounts' keys; default: "+keysVariable)
	f.StringVar(&c.admin, "admin", os.Getenv(adminVariable),
		"admin `ADDRESSES` of all hosts, whose bytes between regions are counted; default from "+adminVariable)
	f.StringVar(&c.model, "model", "advisor", "`MODEL` to ask for")
	f.IntVar(&c.max, "max", 32, "generated `TOKENS` of each answer")
	f.IntVar(&c.tries, "tries", 1, "`ATTEMPTS` of each request and stream; more than 1 hides refusals and resumes broken streams")
	f.IntVar(&c.inflight, "inflight", 4000, "largest `NUMBER` of open requests; more are counted as errors")
	f.DurationVar(&c.deadline, "deadline", time.Minute, "longest `TIME` of one request")
	f.BoolVar(&c.json, "json", false, "print JSON")
	f.StringVar(&c.pattern, "pattern", "", "play the load pattern in `FILE` (TOML) against hosts that are started for it")
	f.StringVar(&c.policies, "policies", "cost", "with -pattern: `RULES` of placement to compare: cost, prefix, least, turns")
	f.StringVar(&c.program, "sesamed", "", "with -pattern: `PATH` of sesamed; default: beside this program, then in PATH")
	f.StringVar(&c.plot, "plot", "", "with -pattern: write the worth by second to `FILE` (svg, png or pdf)")
	f.StringVar(&c.keep, "keep", "", "with -pattern: leave settings and logs of the hosts in `DIR`")
	f.Uint64Var(&c.Seed, "seed", 1, "`SEED` of times and prompts")
	f.Float64Var(&c.Rate, "rate", 10, "mean `NUMBER` of requests a second")
	f.DurationVar(&c.Duration, "duration", 10*time.Second, "`TIME` during which requests are sent")
	f.IntVar(&c.Prompts, "prompts", 50, "`NUMBER` of prompts that return")
	f.IntVar(&c.First, "first", 512, "`TOKENS` of a new prompt")
	f.IntVar(&c.Grow, "grow", 64, "`TOKENS` that each return adds")
	f.IntVar(&c.Limit, "limit", 8192, "`TOKENS` at which a prompt ends and a new one begins")
	f.DurationVar(&c.Gap, "gap", 2*time.Second, "mean `TIME` between a prompt and its return")
}

func (c *loadCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.pattern != "" && f.NArg() == 0 {
		return status(c.replay(ctx))
	}
	keys, err := c.check(f)
	if err != nil {
		return status(err)
	}
	c.Accounts = len(keys)
	l := &loader{command: c, result: newResult(c, len(keys)), held: map[int]int{}}
	for _, k := range keys {
		caller := client.NewCaller(splitList(c.hosts), k, client.WithTries(c.tries))
		defer caller.Close()
		l.callers = append(l.callers, caller)
	}
	before, counted, err := crossBytes(ctx, c.admin)
	if err != nil {
		return status(err)
	}
	l.run(ctx, plan(c.planOptions))
	r := l.result.report()
	if counted && c.admin != "" {
		after, _, err := crossBytes(ctx, c.admin)
		if err != nil {
			return status(err)
		}
		r.Cross = new(after - min(before, after))
	}
	if c.json {
		err = printJSON(r)
	} else {
		r.print()
	}
	if err == nil && r.Complete < r.Requests {
		return subcommands.ExitFailure
	}
	return status(err)
}

func (c *loadCommand) check(f *flag.FlagSet) ([]string, error) {
	if err := noArguments(f); err != nil {
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
		bad  bool
		text string
	}{
		{len(keys) == 0, "no account key; set " + keysVariable + " or give -keyfile FILE"},
		{len(splitList(c.hosts)) == 0, "no address; give -hosts ADDRESSES"},
		{c.Rate <= 0, "-rate must be above 0"},
		{c.Duration <= 0, "-duration must be above 0"},
		{c.Gap < 0, "-gap must not be negative"},
		{c.Prompts < 1 || c.First < 1 || c.max < 1 || c.inflight < 1, "-prompts, -first, -max and -inflight must be at least 1"},
		{c.Grow < 0 || c.Limit < c.First, "-grow must not be negative, and -limit not below -first"},
	} {
		if p.bad {
			return nil, &usageError{p.text}
		}
	}
	return keys, nil
}

// loader sends a plan.
type loader struct {
	command *loadCommand
	callers []*client.Caller
	result  *result

	mu sync.Mutex
	// held is the longest answered length of each prompt: what a return could
	// reuse.
	held map[int]int
}

func (l *loader) run(ctx context.Context, arrivals []arrival) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, l.command.inflight)
	p := newProgress()
	defer p.end()
	start := time.Now()
	shown := start
	for i, a := range arrivals {
		if !sleepUntil(ctx, start.Add(a.At)) {
			break
		}
		if time.Since(shown) >= reportTime {
			shown = time.Now()
			done, failed := l.result.progress()
			p.show("%d of %d sent, %d complete, %d failed", i, len(arrivals), done, failed)
		}
		select {
		case slots <- struct{}{}:
		default:
			l.result.fail(a.Account, "too many open requests")
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			l.request(ctx, a, start.Add(a.At))
		})
	}
	p.show("waiting for the answers in flight")
	wg.Wait()
	l.result.end(time.Since(start))
}

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

// request sends one request. Times count from the planned time, so that a late
// start of this tool or of the host is not hidden.
func (l *loader) request(ctx context.Context, a arrival, planned time.Time) {
	ctx, cancel := context.WithTimeout(ctx, l.command.deadline)
	defer cancel()
	l.mu.Lock()
	held := l.held[a.Prompt]
	l.mu.Unlock()
	s, err := l.callers[a.Account].Complete(ctx, client.Completion{
		Model: l.command.model, Tokens: promptTokens(l.command.Seed, a.Prompt, a.Tokens), Max: l.command.max,
	})
	if err != nil {
		l.result.fail(a.Account, errorKind(ctx, err))
		return
	}
	defer s.Close()
	last := planned
	for n := 0; ; n++ {
		if _, err = s.Next(); err != nil {
			break
		}
		now := time.Now()
		if n == 0 {
			l.result.first(a.Account, now.Sub(last))
		} else {
			l.result.gap(now.Sub(last))
		}
		last = now
	}
	if !errors.Is(err, io.EOF) {
		l.result.fail(a.Account, errorKind(ctx, err))
		return
	}
	l.result.done(a.Account, min(held, a.Tokens), s.Usage(), s.Resumed())
	l.mu.Lock()
	l.held[a.Prompt] = max(l.held[a.Prompt], a.Tokens)
	l.mu.Unlock()
}

// errorKind groups errors for the report.
func errorKind(ctx context.Context, err error) string {
	var refused *client.RefusalError
	var broken *client.BrokenError
	var lost *client.UnreachableError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return "deadline passed"
	case ctx.Err() != nil:
		return "interrupted"
	case errors.As(err, &broken):
		return "broken answer"
	case errors.As(err, &refused):
		ran := "outcome unknown"
		if refused.NotRun {
			ran = "not run"
		}
		return fmt.Sprintf("status %d %s, %s", refused.Status, refused.Kind, ran)
	case errors.As(err, &lost):
		return "unreachable"
	}
	return "other"
}

// kinds returns the sorted kinds of errors.
func kinds(errs map[string]int) []string {
	var out []string
	for k := range errs {
		out = append(out, k)
	}
	slices.SortFunc(out, strings.Compare)
	return out
}
