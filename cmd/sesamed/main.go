// Command sesamed runs an entry host.
//
// # Usage
//
//	sesamed run -settings FILE
//	sesamed serve [-settings FILE]
//	sesamed demo [-listen 127.0.0.1:8080] [-admin 127.0.0.1:8081]
//	sesamed version
//
// The exit code is 0 on success, 1 after a failure and 2 after wrong usage or
// invalid settings. SIGTERM and SIGINT drain the host; a second signal terminates
// the process immediately.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/google/subcommands"
	"github.com/juju/errors"
	"go.uber.org/zap"
)

func main() {
	ignoreHangups()
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&runCommand{}, "")
	subcommands.Register(&serveCommand{}, "")
	subcommands.Register(&demoCommand{}, "")
	subcommands.Register(&versionCommand{}, "")
	flag.Parse()
	// hertz logs a line for each malformed request, so callers could fill the log.
	hlog.SetLevel(hlog.LevelFatal)
	os.Exit(int(subcommands.Execute(withTerminationSignals(context.Background()))))
}

// ignoreHangups prevents SIGHUP, which requests a reload of the settings, from
// terminating a host that does not handle it yet or no longer handles it.
func ignoreHangups() {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
}

// withTerminationSignals returns a context that the first SIGTERM or SIGINT cancels.
// A second signal has its default effect and terminates the process.
func withTerminationSignals(ctx context.Context) context.Context {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	context.AfterFunc(ctx, stop)
	return ctx
}

// newLogger returns a logger that writes JSON lines to standard error.
func newLogger(level string) (*zap.Logger, error) {
	l, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, errors.Trace(err)
	}
	c := zap.NewProductionConfig()
	c.Level = l
	// Sampling would drop lines. Repeated events are counted and not logged, so each
	// line reports a change of state.
	c.Sampling = nil
	c.DisableCaller = true
	c.DisableStacktrace = true
	log, err := c.Build()
	return log, errors.Annotate(err, "build the logger")
}

// failure prints an error and returns the exit status of a failure.
func failure(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "sesamed:", err)
	return subcommands.ExitFailure
}

// usageFailure prints an error and returns the exit status of wrong usage.
func usageFailure(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "sesamed:", err)
	return subcommands.ExitUsageError
}
