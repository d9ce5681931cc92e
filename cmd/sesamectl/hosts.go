package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"sesamehill.example/sesamehill/pkg/client"
)

type hostsCommand struct {
	remoteFlags
	json bool
}

func (*hostsCommand) Name() string     { return "hosts" }
func (*hostsCommand) Synopsis() string { return "list the entry hosts" }

func (*hostsCommand) Usage() string {
	return `sesamectl hosts [-json]
	Lists the entry hosts with state, revision in force, and the numbers of requests
	in flight and waiting.

	Example:
	  sesamectl hosts
`
}

func (c *hostsCommand) SetFlags(f *flag.FlagSet) {
	c.addFlags(f)
	f.BoolVar(&c.json, "json", false, "print JSON")
}

func (c *hostsCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := checkNoArguments(f); err != nil {
		return exitStatus(err)
	}
	return c.withOperator(ctx, func(ctx context.Context, o *client.Operator) error {
		hosts, err := o.Hosts(ctx)
		if err != nil {
			return err
		}
		if c.json {
			return printJSON(hosts)
		}
		var rows [][]string
		for _, h := range hosts {
			rows = append(rows, []string{
				h.Name, h.Region, h.Zone, h.Address, string(h.State), fmt.Sprint(h.Revision), fmt.Sprint(h.Running), fmt.Sprint(h.Waiting),
			})
		}
		printTable([]string{"NAME", "REGION", "ZONE", "ADDRESS", "STATE", "REVISION", "RUNNING", "WAITING"}, rows)
		return nil
	})
}
