// Command sesamectl checks and changes the configuration document of a deployment,
// shows the state of the deployment, and measures it.
//
// # Usage
//
//	sesamectl config init|check|show|diff|apply|history
//	sesamectl status|hosts|targets|links|rollout|state|drain
//	sesamectl explain
//	sesamectl keys
//	sesamectl load
//	sesamectl version
//
// SESAMECTL_ADMIN holds the admin addresses of hosts and SESAMECTL_KEY the
// operator's key. The exit code is 0 on success, 1 after a failure and 2 after
// wrong usage or an invalid document.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"sesamehill.example/sesamehill/internal/calls"
)

func main() {
	// The client library must not mix log lines into the output of the command.
	calls.SilenceHertz()
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range []subcommands.Command{
		&configCommand{}, &drainCommand{}, &explainCommand{}, &hostsCommand{}, &keysCommand{}, &linksCommand{}, &loadCommand{},
		&rolloutCommand{}, &stateCommand{}, &statusCommand{}, &targetsCommand{}, &versionCommand{},
	} {
		subcommands.Register(c, "")
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	context.AfterFunc(ctx, stop)
	os.Exit(int(subcommands.Execute(ctx)))
}
