package main

import (
	"context"
	"encoding/json"
	"flag"
	"maps"
	"slices"
	"strings"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"sesamehill.example/sesamehill/pkg/client"
)

type stateCommand struct {
	remoteFlags
	section string
}

func (*stateCommand) Name() string     { return "state" }
func (*stateCommand) Synopsis() string { return "print the internal state of one host as JSON" }

func (*stateCommand) Usage() string {
	return `sesamectl state [-section NAME]
	Prints the internal state of one host as JSON. It contains neither keys nor
	prompts.

	Examples:
	  sesamectl state -admin 10.0.0.5:8081
	  sesamectl state -section links
`
}

func (c *stateCommand) SetFlags(f *flag.FlagSet) {
	c.addFlags(f)
	f.StringVar(&c.section, "section", "", "only the section of this `NAME`")
}

func (c *stateCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := checkNoArguments(f); err != nil {
		return exitStatus(err)
	}
	return c.withOperator(ctx, func(ctx context.Context, o *client.Operator) error {
		all, err := o.State(ctx)
		if err != nil || c.section == "" {
			if err == nil {
				err = printJSON(all)
			}
			return err
		}
		var sections map[string]json.RawMessage
		if err := json.Unmarshal(all, &sections); err != nil {
			return errors.Annotate(err, "decode the state of the host")
		}
		s, ok := sections[c.section]
		if !ok {
			names := slices.Sorted(maps.Keys(sections))
			return &usageError{"the state has no section " + c.section + "; it has: " + strings.Join(names, ", ")}
		}
		return printJSON(s)
	})
}
