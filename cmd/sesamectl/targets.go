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

type targetsCommand struct {
	remoteFlags
	json bool
	kind string
}

func (*targetsCommand) Name() string     { return "targets" }
func (*targetsCommand) Synopsis() string { return "list engines, stores and plain services" }

func (*targetsCommand) Usage() string {
	return `sesamectl targets [-json] [-kind engine|store|service]
	Lists the targets with state, loaded models, the numbers of requests in flight
	and waiting, and the age of the last load report.

	Example:
	  sesamectl targets -kind engine
`
}

func (c *targetsCommand) SetFlags(f *flag.FlagSet) {
	c.addFlags(f)
	f.BoolVar(&c.json, "json", false, "print JSON")
	f.StringVar(&c.kind, "kind", "", "list only targets of this `KIND`")
}

func (c *targetsCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := checkNoArguments(f); err != nil {
		return exitStatus(err)
	}
	return c.withOperator(ctx, func(ctx context.Context, o *client.Operator) error {
		all, err := o.Targets(ctx)
		if err != nil {
			return err
		}
		targets := []opapi.Target{}
		for _, t := range all {
			if c.kind == "" || t.Kind == c.kind {
				targets = append(targets, t)
			}
		}
		if c.json {
			return printJSON(targets)
		}
		var rows [][]string
		for _, t := range targets {
			age := "none"
			if t.Age >= 0 {
				age = fmt.Sprintf("%d ms", t.Age)
			}
			rows = append(rows, []string{
				t.Name, t.Kind, t.Zone, string(t.State), strings.Join(t.Models, ","), fmt.Sprint(t.Running), fmt.Sprint(t.Waiting), age,
			})
		}
		printTable([]string{"NAME", "KIND", "ZONE", "STATE", "LOADED", "RUNNING", "WAITING", "REPORT"}, rows)
		return nil
	})
}
