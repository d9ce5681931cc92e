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

type drainCommand struct {
	remoteFlags
	wait bool
}

func (*drainCommand) Name() string     { return "drain" }
func (*drainCommand) Synopsis() string { return "take a host or target out of service" }

func (*drainCommand) Usage() string {
	return `sesamectl drain [-wait] host|target NAME
	Drains a host or target: it gets no new work and finishes the requests in flight.
	With -wait the command ends when no request is in flight, or with exit code 1
	after -timeout.

	Examples:
	  sesamectl drain target sul-a-engine-1
	  sesamectl drain -wait -timeout 5m host sul-a-host-2
`
}

func (c *drainCommand) SetFlags(f *flag.FlagSet) {
	c.addFlags(f)
	f.BoolVar(&c.wait, "wait", false, "wait until no request is in flight")
}

func (c *drainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	kind, name := opapi.DrainKind(f.Arg(0)), f.Arg(1)
	if f.NArg() != 2 || kind != opapi.HostKind && kind != opapi.TargetKind {
		return exitStatus(&usageError{"drain takes \"host NAME\" or \"target NAME\""})
	}
	return c.withOperator(ctx, func(ctx context.Context, o *client.Operator) error {
		if err := o.Drain(ctx, kind, name); err != nil {
			return err
		}
		fmt.Printf("%s %s takes no new work\n", kind, name)
		if !c.wait {
			return nil
		}
		return waitDrained(ctx, o, kind, name)
	})
}

// waitDrained waits until a host or target has no request in flight or no longer
// exists.
func waitDrained(ctx context.Context, o *client.Operator, kind opapi.DrainKind, name string) error {
	p := newProgress()
	defer p.end()
	for {
		n, err := inFlight(ctx, o, kind, name)
		if err == nil && n == 0 {
			p.end()
			fmt.Printf("%s %s is empty\n", kind, name)
			return nil
		}
		if err == nil {
			p.show("%s %s: %d in flight", kind, name, n)
		}
		if waitForPoll(ctx) != nil {
			p.end()
			return errors.Errorf("%s %s still has requests in flight and continues to drain; see \"sesamectl %ss\"", kind, name, kind)
		}
	}
}

// inFlight returns the number of running and waiting requests of a host or target.
func inFlight(ctx context.Context, o *client.Operator, kind opapi.DrainKind, name string) (int, error) {
	if kind == opapi.HostKind {
		hosts, err := o.Hosts(ctx)
		for _, h := range hosts {
			if h.Name == name && h.State != opapi.Dead {
				return h.Running + h.Waiting, err
			}
		}
		return 0, err
	}
	targets, err := o.Targets(ctx)
	for _, t := range targets {
		if t.Name == name && t.State != opapi.Dead {
			return t.Running + t.Waiting, err
		}
	}
	return 0, err
}
