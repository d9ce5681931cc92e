package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"sesamehill.example/sesamehill/internal/demo"
)

type demoCommand struct {
	listen string
	admin  string
	split  string
}

func (*demoCommand) Name() string     { return "demo" }
func (*demoCommand) Synopsis() string { return "run a demo deployment in one process" }

func (*demoCommand) Usage() string {
	return "sesamed demo [-listen ADDRESS] [-admin ADDRESS] [-split DIR]\n" +
		"\tRuns the hosts, targets and platform of a demo deployment on the loopback interface.\n" +
		"\tWith -split, runs no hosts. Start each host with \"sesamed run\" as a process of its own.\n"
}

func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:8080", "`ADDRESS` of the first host for callers")
	f.StringVar(&c.split, "split", "", "run only the simulated targets and platform, and write the settings files of the hosts to `DIR`")
	f.StringVar(&c.admin, "admin", "127.0.0.1:8081", "`ADDRESS` of the first host for operators")
}

func (c *demoCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return usageFailure(errors.New("demo takes only -listen, -admin and -split"))
	}
	log, err := newLogger("warn")
	if err != nil {
		return failure(err)
	}
	if err := demo.Run(ctx, demo.Options{Listen: c.listen, Admin: c.admin, Split: c.split, Log: log}, os.Stdout); err != nil {
		return failure(err)
	}
	return subcommands.ExitSuccess
}
