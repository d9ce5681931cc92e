package main

import (
	"context"
	_ "embed"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"
	"github.com/juju/errors"
)

//go:embed init.toml
var initialDocument string

type initCommand struct{}

func (*initCommand) Name() string           { return "init" }
func (*initCommand) Synopsis() string       { return "write an initial configuration document" }
func (*initCommand) SetFlags(*flag.FlagSet) {}

func (*initCommand) Usage() string {
	return `sesamectl config init FILE
	Writes a commented configuration document with one region, one model and one
	client account to a new file. Prints the account's key once, on standard error.

	Example:
	  sesamectl config init deploy.toml
`
}

func (*initCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	path, err := fileArgument(f)
	if err != nil {
		return exitStatus(err)
	}
	key, err := newKey()
	if err != nil {
		return exitStatus(err)
	}
	out, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if errors.Is(err, os.ErrExist) {
		return exitStatus(&usageError{path + " already exists; give the path of a new file"})
	}
	if err != nil {
		return exitStatus(errors.Annotatef(err, "create %s", path))
	}
	_, err = out.WriteString(strings.Replace(initialDocument, "HASH", key.Hash, 1))
	if closeErr := out.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return exitStatus(errors.Annotatef(err, "write %s", path))
	}
	fmt.Fprintf(os.Stderr, "wrote %s; the key of account \"first\", which is not shown again: %s\n", path, key.Key)
	return subcommands.ExitSuccess
}
