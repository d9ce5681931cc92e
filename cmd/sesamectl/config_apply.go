package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"sesamehill.example/sesamehill/pkg/client"
	"sesamehill.example/sesamehill/pkg/config"
	"sesamehill.example/sesamehill/pkg/opapi"
)

type applyCommand struct {
	remoteFlags
	base string
	id   string
	wait time.Duration
	json bool
}

// applyResult is the result of a change.
type applyResult struct {
	opapi.CommitResult
	Effects []config.Effect `json:"effects"`
	// InForce reports whether the revision is in force on all live hosts.
	InForce bool     `json:"force"`
	Lagging []string `json:"lagging"`
}

func (*applyCommand) Name() string { return "apply" }
func (*applyCommand) Synopsis() string {
	return "commit a configuration document and wait until it is in force"
}

func (*applyCommand) Usage() string {
	return `sesamectl config apply [-base REVISION|current] [-id ID] [-wait TIME] FILE
	Commits the file if no other change was accepted since its base revision, and
	waits until it is in force on all live hosts. The base is the revision in the
	file's "# revision N" line, which "config show" writes. "-base current" uses
	the revision in force, and so overwrites changes that the file does not contain.

	If the outcome is unknown, the command resends the change with the same ID, which
	applies it at most once. To continue later, give that ID with -id.

	Examples:
	  sesamectl config apply deploy.toml
	  sesamectl config apply -base 41 -id 7b0cbb6e-63d5-4b6c-9d0c-0f2a4c0b6f4e deploy.toml
`
}

func (c *applyCommand) SetFlags(f *flag.FlagSet) {
	c.addFlags(f)
	f.StringVar(&c.base, "base", "", "base `REVISION`, or current")
	f.StringVar(&c.id, "id", "", "change `ID`; default: a random one")
	f.DurationVar(&c.wait, "wait", 30*time.Second, "longest `TIME` to wait until the revision is in force; with 0 the command does not wait")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

func (c *applyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	path, err := fileArgument(f)
	if err != nil {
		return exitStatus(err)
	}
	d, text, base, hasBase, err := readDocument(path)
	if err != nil {
		return exitStatus(err)
	}
	if base, err = c.baseRevision(base, hasBase); err != nil {
		return exitStatus(err)
	}
	if c.id == "" {
		c.id = uuid.NewString()
	}
	var result applyResult
	code := c.withOperator(ctx, func(ctx context.Context, o *client.Operator) error {
		before, revision, err := documentInForce(ctx, o)
		if err != nil {
			return err
		}
		if c.base == "current" {
			base = revision
		}
		result.Effects = append([]config.Effect{}, config.Diff(before, d)...)
		if !c.json {
			printEffects(result.Effects)
		}
		result.CommitResult, err = c.commit(ctx, o, opapi.Commit{Base: base, Text: string(text), ID: c.id})
		return err
	})
	if code != subcommands.ExitSuccess {
		return code
	}
	return c.reportResult(ctx, &result)
}

// baseRevision returns the revision on which the change is based: that of the -base
// flag, or else that of the file. For "-base current" it returns 0.
func (c *applyCommand) baseRevision(fileBase uint64, hasBase bool) (uint64, error) {
	switch {
	case c.base == "current":
		return 0, nil
	case c.base != "":
		n, err := strconv.ParseUint(c.base, 10, 64)
		if err != nil {
			return 0, &usageError{"-base takes a revision number or \"current\""}
		}
		return n, nil
	case !hasBase:
		return 0, &usageError{"the file states no revision; start from \"sesamectl config show\", or give -base"}
	}
	return fileBase, nil
}

func (c *applyCommand) commit(ctx context.Context, o *client.Operator, change opapi.Commit) (opapi.CommitResult, error) {
	p := newProgress()
	defer p.end()
	committed, err := o.Commit(ctx, change, func(err error) { p.show("retrying change %s: %v", change.ID, err) })
	var unknown *opapi.UnknownOutcomeError
	if errors.As(err, &unknown) {
		return committed, errors.Errorf("the outcome of the change is still unknown; run the command again with -id %s -base %d",
			change.ID, change.Base)
	}
	return committed, err
}

// reportResult prints the result of the commit and waits until the revision is in
// force on all live hosts.
func (c *applyCommand) reportResult(ctx context.Context, result *applyResult) subcommands.ExitStatus {
	if !c.json {
		fmt.Printf("accepted as revision %d (change %s)\n", result.Revision, result.ID)
	}
	var err error
	if c.wait > 0 {
		err = c.waitInForce(ctx, result)
	}
	if c.json {
		if printErr := printJSON(result); printErr != nil {
			return exitStatus(printErr)
		}
	}
	if err == nil && result.InForce && !c.json {
		fmt.Printf("revision %d is in force on all live hosts\n", result.Revision)
	}
	return exitStatus(err)
}

func (c *applyCommand) waitInForce(ctx context.Context, result *applyResult) error {
	o, err := c.operator()
	if err != nil {
		return err
	}
	defer o.Close()
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	p := newProgress()
	defer p.end()
	result.Lagging = []string{}
	for {
		s, err := o.Status(ctx)
		if err == nil && s.Lowest >= result.Revision {
			result.InForce, result.Lagging = true, []string{}
			return nil
		}
		if err == nil {
			// Lagging lists the hosts behind the highest revision in force. Until the
			// first host has applied the new revision, all hosts are behind.
			if result.Lagging = s.Lagging; s.Highest < result.Revision {
				result.Lagging = nil
			}
			p.show("revision %d: lowest in force is %d; behind: %s", result.Revision, s.Lowest, formatLagging(result.Lagging))
		}
		if waitForPoll(ctx) != nil {
			p.end()
			fmt.Fprintln(os.Stderr, "the change remains accepted; \"sesamectl status\" shows which hosts are behind")
			return errors.Errorf("revision %d is not in force everywhere after %s; behind: %s",
				result.Revision, c.wait, formatLagging(result.Lagging))
		}
	}
}

// formatLagging lists the hosts that lag behind; no names stand for all hosts.
func formatLagging(names []string) string {
	if len(names) == 0 {
		return "all hosts"
	}
	return strings.Join(names, ", ")
}
