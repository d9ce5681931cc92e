package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/google/subcommands"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/front"
	"sesamehill.example/sesamehill/internal/logs"
	"sesamehill.example/sesamehill/platform"
)

// memoryShare is the share of the memory limit from which garbage is collected
// more often; what the limit counts includes more than the heap.
const memoryShare = 0.8

type serveCommand struct {
	settings string
}

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run one entry host on a shared platform" }

func (*serveCommand) Usage() string {
	return "sesamed serve [-settings FILE]\n\tRuns one entry host on a shared platform until SIGTERM or SIGINT, then drains it.\n" +
		"\tThe file defaults to the one that " + platform.SettingsVariable + " names.\n"
}

func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", os.Getenv(platform.SettingsVariable), "`FILE` with the host's settings in TOML")
}

func (c *serveCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" || f.NArg() > 0 {
		return misused(errors.New("serve takes -settings FILE and no other argument"))
	}
	s, err := front.LoadSettings(c.settings)
	if err != nil {
		fmt.Fprintf(os.Stderr, "sesamed: the settings are faulty:\n%v\n", err)
		return subcommands.ExitUsageError
	}
	log, err := logs.New(os.Stdout, s.Level)
	if err != nil {
		return failed(err)
	}
	defer log.Flush()
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory<<20)))
	}
	pool := s.Pool()
	h, err := front.New(
		s, platform.New(s.Platform, pool), front.WithLog(log.With(zap.String("host", s.Name))),
		front.WithFile(c.settings, log.SetLevel), front.WithPool(pool),
	)
	if err != nil {
		return failed(err)
	}
	if err := h.Run(ctx); err != nil {
		return failed(err)
	}
	return subcommands.ExitSuccess
}
