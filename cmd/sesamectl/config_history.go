package main

import (
	"context"
	"flag"
	"strconv"

	"github.com/google/subcommands"

	"sesamehill.example/sesamehill/pkg/client"
)

type historyCommand struct {
	remoteFlags
	json  bool
	limit int
}

func (*historyCommand) Name() string { return "history" }
func (*historyCommand) Synopsis() string {
	return "list the newest changes of the configuration document"
}

func (*historyCommand) Usage() string {
	return `sesamectl config history [-json] [-limit N]
	Lists changes of the configuration document, the newest first, with author, time
	and change ID.

	Example:
	  sesamectl config history -limit 5
`
}

func (c *historyCommand) SetFlags(f *flag.FlagSet) {
	c.addFlags(f)
	f.BoolVar(&c.json, "json", false, "print JSON")
	f.IntVar(&c.limit, "limit", 20, "largest `NUMBER` of changes to list")
}

func (c *historyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := checkNoArguments(f); err != nil {
		return exitStatus(err)
	}
	return c.withOperator(ctx, func(ctx context.Context, o *client.Operator) error {
		changes, err := o.History(ctx, c.limit)
		if err != nil {
			return err
		}
		if c.json {
			return printJSON(changes)
		}
		var rows [][]string
		for _, h := range changes {
			rows = append(rows, []string{strconv.FormatUint(h.Revision, 10), formatTime(h.Time), h.Author, h.ID})
		}
		printTable([]string{"REVISION", "TIME", "AUTHOR", "CHANGE"}, rows)
		return nil
	})
}
