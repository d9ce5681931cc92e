package main

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"

	"github.com/google/subcommands"
	"github.com/juju/errors"
)

type versionCommand struct{}

func (*versionCommand) Name() string             { return "version" }
func (*versionCommand) Synopsis() string         { return "print the version" }
func (*versionCommand) Usage() string            { return "sesamed version\n\tPrints the version of the build.\n" }
func (*versionCommand) SetFlags(_ *flag.FlagSet) {}

func (*versionCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return usageFailure(errors.New("version takes no argument"))
	}
	b, ok := debug.ReadBuildInfo()
	if !ok {
		return failure(errors.New("the binary has no version information; build it with Go module support"))
	}
	fmt.Printf("sesamed %s %s\n", b.Main.Version, b.GoVersion)
	return subcommands.ExitSuccess
}
