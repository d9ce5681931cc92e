package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"sesamehill.example/sesamehill/pkg/client"
)

type linksCommand struct {
	remoteFlags
	json bool
}

func (*linksCommand) Name() string     { return "links" }
func (*linksCommand) Synopsis() string { return "list the links between regions" }

func (*linksCommand) Usage() string {
	return `sesamectl links [-json]
	Lists the links with configured and measured rate, the share in use, and the bytes
	sent, as one host measures them.

	Example:
	  sesamectl links
`
}

func (c *linksCommand) SetFlags(f *flag.FlagSet) {
	c.addFlags(f)
	f.BoolVar(&c.json, "json", false, "print JSON")
}

func (c *linksCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := checkNoArguments(f); err != nil {
		return exitStatus(err)
	}
	return c.withOperator(ctx, func(ctx context.Context, o *client.Operator) error {
		links, err := o.Links(ctx)
		if err != nil {
			return err
		}
		if c.json {
			return printJSON(links)
		}
		var rows [][]string
		for _, l := range links {
			rows = append(rows, []string{
				l.From, l.To, fmt.Sprint(l.Rate), fmt.Sprintf("%.1f", l.Measured), fmt.Sprintf("%.1f%%", 100*l.Use), fmt.Sprint(l.Bytes),
			})
		}
		printTable([]string{"FROM", "TO", "MBIT/S", "MEASURED", "IN USE", "BYTES"}, rows)
		return nil
	})
}
