package main

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/google/subcommands"

	"sesamehill.example/sesamehill/pkg/client"
	"sesamehill.example/sesamehill/pkg/opapi"
)

type statusCommand struct {
	remoteFlags
	json bool
}

// statusResult is the JSON output of the status command.
type statusResult struct {
	opapi.Status
	Vars opapi.Vars `json:"vars"`
}

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "show revisions, platform and metrics" }

func (*statusCommand) Usage() string {
	return `sesamectl status [-json]
	Shows the lowest and highest revision in force on the live hosts, whether the
	platform is reachable, and the metrics of the answering host: time to first
	token, recomputed share, and use of the links between regions.

	Example:
	  sesamectl status -admin 10.0.0.5:8081,10.0.0.6:8081
`
}

func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	c.addFlags(f)
	f.BoolVar(&c.json, "json", false, "print JSON")
}

func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := checkNoArguments(f); err != nil {
		return exitStatus(err)
	}
	return c.withOperator(ctx, func(ctx context.Context, o *client.Operator) error {
		s, err := o.Status(ctx)
		if err != nil {
			return err
		}
		v, err := o.Vars(ctx)
		if err != nil {
			return err
		}
		if c.json {
			return printJSON(statusResult{Status: s, Vars: v})
		}
		platform := "yes"
		if !s.Platform.Reachable {
			platform = "no"
		}
		behind := "none"
		if len(s.Lagging) > 0 {
			behind = strings.Join(s.Lagging, ", ")
		}
		printTable([]string{"STATUS", "VALUE"}, [][]string{
			{"answering host", s.Host},
			{"live hosts", fmt.Sprint(s.Live)},
			{"revision in force here", fmt.Sprint(s.Revision)},
			{"lowest in force", fmt.Sprint(s.Lowest)},
			{"highest in force", fmt.Sprint(s.Highest)},
			{"hosts behind", behind},
			{"platform reachable", platform},
			{"platform since", formatTime(s.Platform.Since)},
			{"first token p50/p95/p99", fmt.Sprintf("%.0f/%.0f/%.0f ms", v.First.P50, v.First.P95, v.First.P99)},
			{"recomputed share", fmt.Sprintf("%.1f%%", 100*v.Recomputed)},
			{"busiest link", fmt.Sprintf("%.1f%%", 100*v.Use)},
			{"bytes between regions", fmt.Sprint(v.Cross)},
		})
		return nil
	})
}
