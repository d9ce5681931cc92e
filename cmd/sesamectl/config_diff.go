package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"
	"github.com/rogpeppe/go-internal/diff"

	"sesamehill.example/sesamehill/pkg/client"
	"sesamehill.example/sesamehill/pkg/config"
)

type diffCommand struct {
	remoteFlags
	json bool
	text bool
}

func (*diffCommand) Name() string     { return "diff" }
func (*diffCommand) Synopsis() string { return "show the effects of a configuration document" }

func (*diffCommand) Usage() string {
	return `sesamectl config diff [-json] [-text] FILE [FILE]
	Shows what the file would change in the configuration document in force. With two
	files, shows the changes from the first to the second without contacting a host.
	The exit code is 0 even if there are differences.

	Examples:
	  sesamectl config diff deploy.toml
	  sesamectl config diff -text old.toml new.toml
`
}

func (c *diffCommand) SetFlags(f *flag.FlagSet) {
	c.addFlags(f)
	f.BoolVar(&c.json, "json", false, "print JSON")
	f.BoolVar(&c.text, "text", false, "also print a line diff of the documents")
}

func (c *diffCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 1 || f.NArg() > 2 {
		return exitStatus(&usageError{"diff takes one or two FILEs"})
	}
	after, _, _, _, err := readDocument(f.Arg(f.NArg() - 1))
	if err != nil {
		return exitStatus(err)
	}
	if f.NArg() == 2 {
		before, _, _, _, err := readDocument(f.Arg(0))
		if err != nil {
			return exitStatus(err)
		}
		return exitStatus(c.print(before, after))
	}
	return c.withOperator(ctx, func(ctx context.Context, o *client.Operator) error {
		before, _, err := documentInForce(ctx, o)
		if err != nil {
			return err
		}
		return c.print(before, after)
	})
}

// documentInForce returns the document in force at one host and its revision.
func documentInForce(ctx context.Context, o *client.Operator) (*config.Document, uint64, error) {
	d, err := o.Document(ctx)
	if err != nil {
		return nil, 0, err
	}
	parsed, err := config.ParseDocument("document in force", []byte(d.Text))
	return parsed, d.Revision, err
}

func (c *diffCommand) print(before, after *config.Document) error {
	effects := config.Diff(before, after)
	if c.json {
		return printJSON(append([]config.Effect{}, effects...))
	}
	printEffects(effects)
	if !c.text || len(effects) == 0 {
		return nil
	}
	beforeText, err := before.Format()
	if err != nil {
		return err
	}
	afterText, err := after.Format()
	if err != nil {
		return err
	}
	for l := range strings.Lines(string(diff.Diff("before", beforeText, "after", afterText))) {
		colour := map[byte]string{'+': green, '-': red}[l[0]]
		fmt.Println(paint(os.Stdout, colour, strings.TrimSuffix(l, "\n")))
	}
	return nil
}

func printEffects(effects []config.Effect) {
	if len(effects) == 0 {
		fmt.Println("no difference")
	}
	for _, e := range effects {
		fmt.Println(e)
	}
}
