package main

import (
	"context"
	"flag"
	"os"
	"regexp"
	"strconv"

	"github.com/google/subcommands"

	"sesamehill.example/sesamehill/pkg/config"
)

// configCommand groups the commands for the configuration document.
type configCommand struct{}

func (*configCommand) Name() string     { return "config" }
func (*configCommand) Synopsis() string { return "check and change the configuration document" }

func (*configCommand) Usage() string {
	return `sesamectl config init|check|show|diff|apply|history
	Checks and changes the configuration document of a deployment.
	"sesamectl config help COMMAND" explains a command.

	To make a change:
	  sesamectl config show > deploy.toml
	  (edit deploy.toml)
	  sesamectl config check deploy.toml
	  sesamectl config diff deploy.toml
	  sesamectl config apply deploy.toml
`
}

func (*configCommand) SetFlags(*flag.FlagSet) {}

func (*configCommand) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	c := subcommands.NewCommander(f, "sesamectl config")
	c.Register(c.HelpCommand(), "")
	for _, s := range []subcommands.Command{
		&applyCommand{}, &checkCommand{}, &diffCommand{}, &historyCommand{}, &initCommand{}, &showCommand{},
	} {
		c.Register(s, "")
	}
	return c.Execute(ctx, args...)
}

// revisionLine matches the comment in which "config show" states the revision, which
// is the base of an edited file.
var revisionLine = regexp.MustCompile(`(?m)^# revision (\d+)\b`)

// readDocument reads and checks a file. If the file states a base revision, hasBase
// is true.
func readDocument(path string) (d *config.Document, text []byte, base uint64, hasBase bool, err error) {
	text, err = os.ReadFile(path)
	if err != nil {
		return nil, nil, 0, false, &usageError{"cannot read the document: " + err.Error()}
	}
	if m := revisionLine.FindSubmatch(text); m != nil {
		base, err = strconv.ParseUint(string(m[1]), 10, 64)
		hasBase = err == nil
	}
	d, err = config.ParseDocument(path, text)
	return d, text, base, hasBase, err
}

// fileArgument returns the only argument, the path of a file.
func fileArgument(f *flag.FlagSet) (string, error) {
	if f.NArg() != 1 {
		return "", &usageError{f.Name() + " takes exactly one FILE"}
	}
	return f.Arg(0), nil
}
