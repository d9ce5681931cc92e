package main

import (
	"context"
	"errors"
	"net"
	"os/exec"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rogpeppe/go-internal/testscript"

	sample "sesamehill.example/sesamehill/examples"
	"sesamehill.example/sesamehill/internal/calls"
	"sesamehill.example/sesamehill/internal/dump"
	"sesamehill.example/sesamehill/internal/entry"
	"sesamehill.example/sesamehill/internal/fakes"
	"sesamehill.example/sesamehill/internal/forms"
	"sesamehill.example/sesamehill/pkg/config"
	"sesamehill.example/sesamehill/pkg/opapi"
)

func TestMain(m *testing.M) {
	calls.SilenceHertz()
	testscript.Main(m, map[string]func(){"sesamectl": main})
}

// testDeployment is the simulated deployment that one script uses.
type testDeployment struct {
	backend *fakes.Backend
	runner  *fakes.Runner
}

// Guards against wrong exit codes and output, against changes that overwrite another
// change or are applied twice, and against load reports that hide failures.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setup,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			// exits CODE COMMAND... runs a command that must exit with CODE.
			"exits": func(ts *testscript.TestScript, _ bool, args []string) {
				err := ts.Exec(args[1], args[2:]...)
				var exit *exec.ExitError
				if !errors.As(err, &exit) || strconv.Itoa(exit.ExitCode()) != args[0] {
					ts.Fatalf("%v ended with %v, want exit status %s", args[1:], err, args[0])
				}
			},
			// fault lose|down|up|cut|refuse|lag N changes how the deployment behaves.
			"fault": func(ts *testscript.TestScript, _ bool, args []string) {
				b := ts.Value("bench").(*testDeployment)
				n := 0
				if len(args) > 1 {
					n, _ = strconv.Atoi(args[1])
				}
				switch args[0] {
				case "lose":
					b.backend.LoseReplies(n)
				case "down", "up":
					b.backend.SetDown(args[0] == "down")
				case "cut":
					b.runner.BreakStreams(n)
				case "refuse":
					b.runner.Refuse(n)
				case "lag":
					b.backend.SetFleet(fleet(uint64(n)))
				default:
					ts.Fatalf("unknown fault %s", args[0])
				}
			},
		},
	})
}

// fleet returns the hosts, targets and links that the deployment reports. The second
// host has applied the given revision.
func fleet(revision uint64) ([]opapi.Host, []opapi.Target, []opapi.Link) {
	hosts := []opapi.Host{
		{Name: "host-1", Region: "sul", Zone: "sul-a", Address: "10.0.0.1:9000", State: opapi.Live},
		{Name: "host-2", Region: "sul", Zone: "sul-b", Address: "10.0.0.2:9000", State: opapi.Live, Revision: revision},
	}
	targets := []opapi.Target{
		{Name: "engine-1", Kind: "engine", Zone: "sul-a", State: opapi.Live, Models: []string{"advisor@1"}, Age: 120},
		{Name: "store-1", Kind: "store", Zone: "sul-a", State: opapi.Leaving, Age: -1, Models: []string{}},
	}
	return hosts, targets, []opapi.Link{{From: "sul", To: "sudeste", Rate: 30, Measured: 28.5, Use: 0.25, Bytes: 1000}}
}

func setup(e *testscript.Env) error {
	d, err := config.ParseDocument("demo.toml", sample.Demo)
	if err != nil {
		return err
	}
	b := &testDeployment{backend: fakes.NewBackend(d), runner: fakes.NewRunner(map[string]string{"k1": "keeper", "k2": "borough"})}
	b.backend.SetFleet(fleet(0))
	admin, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r := dump.New()
	r.Add("links", func() any { return []opapi.Link{{From: "sul"}} })
	a := dump.NewAdmin(r, dump.WithListener(admin))
	a.Mount(forms.New(b.backend, forms.WithOperators([]string{config.HashKey("op")})).Routes)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = a.Serve(ctx) }()
	s := entry.New(b.runner, entry.WithListener(callers), entry.WithDrain(0, time.Second))
	go func() { _ = s.Serve() }()
	e.Defer(func() {
		cancel()
		_ = s.Drain(context.Background())
	})
	e.Values["bench"] = b
	e.Setenv("SESAMECTL_ADMIN", admin.Addr().String())
	e.Setenv("SESAMECTL_KEY", "op")
	e.Setenv("SESAMECTL_KEYS", "k1,k2")
	e.Setenv("CALLERS", callers.Addr().String())
	return nil
}

// Guards against a plan that depends on answers, whose prompts do not return or grow,
// or that differs between runs with the same seed.
func TestPlan(t *testing.T) {
	g := NewWithT(t)
	o := planOptions{
		Seed: 7, Rate: 50, Duration: time.Minute, Accounts: 3, ReturningPrompts: 40, InitialTokens: 100, GrowthTokens: 10, MaxPromptTokens: 200, MeanGap: 500 * time.Millisecond,
	}
	arrivals := plan(o)
	g.Expect(plan(o)).To(Equal(arrivals))
	g.Expect(len(arrivals)).To(BeNumerically("~", 3000, 300))
	previous := map[int]arrival{}
	returns := 0
	for i, x := range arrivals {
		if i > 0 {
			g.Expect(x.At).To(BeNumerically(">=", arrivals[i-1].At))
		}
		p, seen := previous[x.Prompt]
		if seen {
			returns++
			g.Expect(x.Tokens).To(Equal(p.Tokens + 10))
			g.Expect(x.Account).To(Equal(p.Account))
		} else {
			g.Expect(x.Tokens).To(Equal(100))
		}
		g.Expect(x.Tokens).To(BeNumerically("<=", 200))
		previous[x.Prompt] = x
	}
	g.Expect(returns).To(BeNumerically(">", len(arrivals)/2))
	short, long := promptTokens(7, 3, 50), promptTokens(7, 3, 90)
	g.Expect(long[:50]).To(Equal(short))
	g.Expect(slices.Equal(short, promptTokens(7, 4, 50))).To(BeFalse())
}
