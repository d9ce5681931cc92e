package main

import (
	"context"
	"flag"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"sesamehill.example/sesamehill/pkg/client"
)

const (
	adminVariable = "SESAMECTL_ADMIN"
	keyVariable   = "SESAMECTL_KEY"
	defaultAdmin  = "127.0.0.1:8081"
	// pollInterval is the time between two polls of a changing state. Hosts receive
	// changes within about two seconds, so a shorter interval shows no more.
	pollInterval = 500 * time.Millisecond
)

// usageError is an error in the command line.
type usageError struct{ problem string }

func (e *usageError) Error() string { return e.problem }

// remoteFlags holds the flags of a command that calls the API of hosts.
type remoteFlags struct {
	admin   string
	keyFile string
	timeout time.Duration
}

func (r *remoteFlags) addFlags(f *flag.FlagSet) {
	admin := os.Getenv(adminVariable)
	if admin == "" {
		admin = defaultAdmin
	}
	f.StringVar(&r.admin, "admin", admin, "admin `ADDRESSES` of hosts, separated by commas; default from "+adminVariable)
	f.StringVar(&r.keyFile, "keyfile", "", "`FILE` that holds the operator's key; default: the key in "+keyVariable)
	f.DurationVar(&r.timeout, "timeout", 30*time.Second, "`TIME` limit of the calls to hosts")
}

// operator returns a client of the operators' API. The key is never a command-line
// argument, because other users of the machine can read those.
func (r *remoteFlags) operator() (*client.Operator, error) {
	key := os.Getenv(keyVariable)
	if r.keyFile != "" {
		b, err := os.ReadFile(r.keyFile)
		if err != nil {
			return nil, &usageError{"cannot read the key: " + err.Error()}
		}
		key = string(b)
	}
	if key = strings.TrimSpace(key); key == "" {
		return nil, &usageError{"no operator key is given; set " + keyVariable + " or give -keyfile FILE"}
	}
	addresses := splitList(r.admin)
	if len(addresses) == 0 {
		return nil, &usageError{"no admin address is given; set " + adminVariable + " or give -admin ADDRESS"}
	}
	return client.NewOperator(addresses, key), nil
}

// withOperator calls f with a client of the operators' API and a context with the
// time limit of the command.
func (r *remoteFlags) withOperator(ctx context.Context, f func(ctx context.Context, o *client.Operator) error) subcommands.ExitStatus {
	o, err := r.operator()
	if err != nil {
		return exitStatus(err)
	}
	defer o.Close()
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	return exitStatus(f(ctx, o))
}

// waitForPoll waits until the next poll. It returns an error if the context ends
// first.
func waitForPoll(ctx context.Context) error {
	t := time.NewTimer(pollInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-t.C:
		return nil
	}
}

// splitList splits a list at commas, spaces and line breaks.
func splitList(s string) []string {
	return strings.FieldsFunc(s, func(r rune) bool { return r == ',' || r == ' ' || r == '\n' })
}

// checkNoArguments returns an error if there are arguments after the flags.
func checkNoArguments(f *flag.FlagSet) error {
	if f.NArg() > 0 {
		return &usageError{f.Name() + " takes no argument; remove " + f.Arg(0)}
	}
	return nil
}
