package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/host"
	"sesamehill.example/sesamehill/pkg/config"
)

type runCommand struct {
	settings string
}

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run one entry host" }

func (*runCommand) Usage() string {
	return "sesamed run -settings FILE\n\tRuns one entry host until SIGTERM or SIGINT, then drains it.\n"
}

func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "`FILE` with the host's settings in TOML")
}

func (c *runCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" || f.NArg() > 0 {
		return usageFailure(errors.New("run takes -settings FILE and no other argument"))
	}
	s, err := config.LoadSettings(c.settings)
	if err != nil {
		fmt.Fprintf(os.Stderr, "sesamed: the settings are invalid:\n%v\n", err)
		return subcommands.ExitUsageError
	}
	log, err := newLogger(s.LogLevel)
	if err != nil {
		return failure(err)
	}
	log = log.With(zap.String("host", s.Name), zap.String("zone", s.Zone))
	h, err := host.New(s, host.WithLog(log))
	if err != nil {
		return failure(err)
	}
	if err := h.Run(ctx); err != nil {
		return failure(err)
	}
	return subcommands.ExitSuccess
}
