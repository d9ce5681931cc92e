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

	"sesamehill.example/sesamehill/internal/logs"
	"sesamehill.example/sesamehill/internal/server"
	"sesamehill.example/sesamehill/platform"
)

// softMemoryShare is the share of the memory limit of the host above which the
// runtime collects garbage more often. It is below 1 because the memory that counts
// towards the limit is more than the heap: the program, and what the kernel has received.
const softMemoryShare = 0.7

type serveCommand struct {
	settings string
}

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run one entry host on a shared platform" }

func (*serveCommand) Usage() string {
	return "sesamed serve [-settings FILE]\n\tRuns one entry host on a shared platform until SIGTERM or SIGINT, then drains it.\n" +
		"\tThe default for FILE is the path in " + platform.SettingsVariable + ".\n"
}

func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", os.Getenv(platform.SettingsVariable), "`FILE` with the host's settings in TOML")
}

func (c *serveCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" || f.NArg() > 0 {
		return usageFailure(errors.New("serve takes -settings FILE and no other argument"))
	}
	s, err := server.LoadSettings(c.settings)
	if err != nil {
		fmt.Fprintf(os.Stderr, "sesamed: the settings are invalid:\n%v\n", err)
		return subcommands.ExitUsageError
	}
	log, err := logs.New(os.Stdout, s.Level)
	if err != nil {
		return failure(err)
	}
	defer log.Flush()
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(softMemoryShare * float64(s.Memory<<20)))
	}
	pool := s.Pool()
	h, err := server.New(
		s, platform.New(s.Platform, pool), server.WithLog(log.With(zap.String("host", s.Name))),
		server.WithFile(c.settings, log.SetLevel), server.WithPool(pool),
	)
	if err != nil {
		return failure(err)
	}
	if err := h.Run(ctx); err != nil {
		return failure(err)
	}
	return subcommands.ExitSuccess
}
