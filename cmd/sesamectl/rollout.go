package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"sesamehill.example/sesamehill/pkg/client"
	"sesamehill.example/sesamehill/pkg/opapi"
)

type rolloutCommand struct {
	remoteFlags
	json bool
	wait bool
}

func (*rolloutCommand) Name() string     { return "rollout" }
func (*rolloutCommand) Synopsis() string { return "show the progress of a model's rollout" }

func (*rolloutCommand) Usage() string {
	return `sesamectl rollout [-json] [-wait] MODEL
	Shows which targets have loaded the version that the configuration document states
	for the model. Changing "version" in the document starts a rollout. With -wait the
	command ends when all targets are ready, or with exit code 1 after -timeout.

	Example:
	  sesamectl rollout -wait -timeout 10m advisor
`
}

func (c *rolloutCommand) SetFlags(f *flag.FlagSet) {
	c.addFlags(f)
	f.BoolVar(&c.json, "json", false, "print JSON")
	f.BoolVar(&c.wait, "wait", false, "wait until all targets are ready")
}

func (c *rolloutCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return exitStatus(&usageError{"rollout takes one MODEL"})
	}
	return c.withOperator(ctx, func(ctx context.Context, o *client.Operator) error {
		r, err := c.pollRollout(ctx, o, f.Arg(0))
		if err != nil {
			return err
		}
		if c.json {
			err = printJSON(r)
		} else {
			c.print(r)
		}
		if err == nil && c.wait && !r.Done {
			err = errors.Errorf("%d of %d targets have version %s of %s; the rollout continues", r.Ready, r.Total, r.Version, r.Model)
		}
		return err
	})
}

// pollRollout returns the progress of the rollout. With -wait it polls until the
// rollout is complete or the time limit is reached.
func (c *rolloutCommand) pollRollout(ctx context.Context, o *client.Operator, model string) (opapi.Rollout, error) {
	p := newProgress()
	defer p.end()
	var last opapi.Rollout
	for received := false; ; received = true {
		r, err := o.Rollout(ctx, model)
		if err != nil && (!received || ctx.Err() == nil) {
			return r, err
		}
		if err == nil {
			last = r
		}
		if !c.wait || last.Done || waitForPoll(ctx) != nil {
			return last, nil
		}
		p.show("%s %s: %d of %d targets ready", last.Model, last.Version, last.Ready, last.Total)
	}
}

func (c *rolloutCommand) print(r opapi.Rollout) {
	var rows [][]string
	for _, t := range r.Targets {
		rows = append(rows, []string{t.Name, t.Loaded, t.Phase})
	}
	printTable([]string{"TARGET", "LOADED", "PHASE"}, rows)
	fmt.Printf("%d of %d targets have version %s of %s\n", r.Ready, r.Total, r.Version, r.Model)
}
