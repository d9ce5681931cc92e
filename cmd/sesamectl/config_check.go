package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"sesamehill.example/sesamehill/pkg/config"
)

type checkCommand struct {
	json bool
}

// checkResult is the result for one file.
type checkResult struct {
	File     string         `json:"file"`
	Faults   []config.Fault `json:"faults"`
	Warnings []config.Fault `json:"warnings"`
}

func (*checkCommand) Name() string { return "check" }
func (*checkCommand) Synopsis() string {
	return "check a configuration document without contacting a host"
}

func (*checkCommand) Usage() string {
	return `sesamectl config check [-json] FILE
	Lists every fault of a configuration document with line, key and remedy, and
	warns about values that are valid but dangerous. Contacts no host. The exit code
	is 2 if there are faults, and 0 if there are only warnings.

	Example:
	  sesamectl config check deploy.toml
`
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) { f.BoolVar(&c.json, "json", false, "print JSON") }

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	path, err := fileArgument(f)
	if err != nil {
		return exitStatus(err)
	}
	d, _, _, _, err := readDocument(path)
	r := checkResult{File: path, Faults: []config.Fault{}, Warnings: []config.Fault{}}
	var faults *config.FaultsError
	switch {
	case errors.As(err, &faults):
		r.Faults = faults.Faults
	case err != nil:
		return exitStatus(err)
	default:
		r.Warnings = append(r.Warnings, d.Warnings()...)
	}
	code := subcommands.ExitSuccess
	if len(r.Faults) > 0 {
		code = subcommands.ExitUsageError
	}
	if c.json {
		if err := printJSON(r); err != nil {
			return exitStatus(err)
		}
		return code
	}
	printFaults(os.Stderr, path, "", r.Faults)
	printFaults(os.Stderr, path, paint(os.Stderr, yellow, "warning: "), r.Warnings)
	if code == subcommands.ExitSuccess {
		fmt.Printf("%s is valid: %d regions, %d models, %d services, %d accounts, %d warnings\n",
			path, len(d.Regions), len(d.Models), len(d.Services), len(d.Accounts), len(r.Warnings))
	}
	return code
}
