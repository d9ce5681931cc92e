package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"sesamehill.example/sesamehill/internal/proxy"
	"sesamehill.example/sesamehill/internal/server"
)

// explainReplyBytes limits the reply of a host, which names each target of a service.
const explainReplyBytes = 16 << 20

type explainCommand struct {
	admin   string
	timeout time.Duration
	json    bool
}

func (*explainCommand) Name() string { return "explain" }

func (*explainCommand) Synopsis() string {
	return "explain where a request would go now, without sending it"
}

func (*explainCommand) Usage() string {
	return `sesamectl explain [-json] [-admin ADDRESS] [FILE]
	Explains where a host on a shared platform (sesamed serve) would send a request
	now, and why, without sending it: the targets with their expected cost, why others
	are passed over, the place among the waiting requests, and the refusal that
	follows if no target takes it in time. FILE, or the standard input, holds the
	request as a caller sends it: the request line, headers, an empty line and the
	body.

	Example:
	  sesamectl explain -admin 10.1.0.20:7261 request.http
`
}

func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	admin := os.Getenv(adminVariable)
	if admin == "" {
		admin = defaultAdmin
	}
	f.StringVar(&c.admin, "admin", admin, "admin `ADDRESS` of the host; default from "+adminVariable)
	f.DurationVar(&c.timeout, "timeout", 30*time.Second, "`TIME` limit of the call to the host")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

func (c *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	request, err := readRequestFile(f)
	if err != nil {
		return exitStatus(err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	e, err := fetchExplanation(ctx, c.admin, request)
	if err != nil {
		return exitStatus(err)
	}
	if c.json {
		return exitStatus(printJSON(e))
	}
	printExplanation(e)
	return subcommands.ExitSuccess
}

// readRequestFile reads the request to explain from the file that the arguments name, or
// from the standard input.
func readRequestFile(f *flag.FlagSet) ([]byte, error) {
	switch f.NArg() {
	case 0:
		b, err := io.ReadAll(os.Stdin)
		return b, errors.Trace(err)
	case 1:
		b, err := os.ReadFile(f.Arg(0))
		if err != nil {
			return nil, &usageError{"cannot read the request: " + err.Error()}
		}
		return b, nil
	}
	return nil, &usageError{"explain takes one file; remove " + f.Arg(1)}
}

// fetchExplanation requests the explanation of a request from a host.
func fetchExplanation(ctx context.Context, admin string, request []byte) (proxy.Explanation, error) {
	var e proxy.Explanation
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+admin+server.ExplainPath, bytes.NewReader(request))
	if err != nil {
		return e, errors.Trace(err)
	}
	call.Header.Set("Content-Type", "message/http")
	resp, err := http.DefaultClient.Do(call)
	if err != nil {
		return e, errors.Annotate(err, "call the host; give its admin address with -admin")
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read
	b, err := io.ReadAll(io.LimitReader(resp.Body, explainReplyBytes))
	if err != nil {
		return e, errors.Trace(err)
	}
	if resp.StatusCode != http.StatusOK {
		return e, errors.Errorf("host %s answered with status %d: %s", admin, resp.StatusCode, bytes.TrimSpace(b))
	}
	return e, errors.Trace(json.Unmarshal(b, &e))
}

// printExplanation prints an explanation as text.
func printExplanation(e proxy.Explanation) {
	fmt.Printf("route %s, service %s, account %s\n", orNone(e.Route), orNone(e.Service), orNone(e.Account))
	switch e.Outcome {
	case proxy.Sent:
		fmt.Printf("goes to target %s; place %d of %d waiting\n", e.Target, e.Place, e.Waiting)
	case proxy.Waits:
		fmt.Printf("waits for at most %d ms; place %d of %d waiting\n", e.LimitMs, e.Place, e.Waiting)
	case proxy.Rejected:
		fmt.Println("is refused at once")
	}
	if r := e.Refusal; r != nil {
		fmt.Printf("refusal: status %d, %s; retry after %d ms\n", r.Status, r.Reason, r.RetryMs)
	}
	rows := make([][]string, 0, len(e.Targets))
	for _, t := range e.Targets {
		cost := ""
		if t.Candidate {
			cost = fmt.Sprintf("%.1f", t.CostMs)
		}
		leaving := ""
		if v := t.Leaving; v != nil {
			leaving = fmt.Sprintf("share %.2f, gain %.0f ms, way %.0f ms", v.Share, v.GainMs, v.WayMs)
		}
		reason := t.Reason
		if t.ID == e.Target {
			reason = "chosen"
		}
		rows = append(rows, []string{t.ID, t.Zone, cost, reason, leaving})
	}
	if len(rows) > 0 {
		printTable([]string{"TARGET", "ZONE", "COST MS", "WHY", "ZONE DECISION"}, rows)
	}
}

func orNone(name string) string {
	if name == "" {
		return "none"
	}
	return name
}
