package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"sesamehill.example/sesamehill/pkg/client"
)

type showCommand struct {
	remoteFlags
	json bool
}

func (*showCommand) Name() string     { return "show" }
func (*showCommand) Synopsis() string { return "print the configuration document in force" }

func (*showCommand) Usage() string {
	return `sesamectl config show [-json]
	Prints the configuration document in force. The first line states the revision,
	which "config apply" uses as the base of the edited file.

	Example:
	  sesamectl config show > deploy.toml
`
}

func (c *showCommand) SetFlags(f *flag.FlagSet) {
	c.addFlags(f)
	f.BoolVar(&c.json, "json", false, "print JSON")
}

func (c *showCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := checkNoArguments(f); err != nil {
		return exitStatus(err)
	}
	return c.withOperator(ctx, func(ctx context.Context, o *client.Operator) error {
		d, err := o.Document(ctx)
		if err != nil {
			return err
		}
		if c.json {
			return printJSON(d)
		}
		fmt.Printf("# revision %d\n%s", d.Revision, d.Text)
		return nil
	})
}
