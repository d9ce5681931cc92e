package main

import (
	"errors"
	"os/exec"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"sesamed": main})
}

// Guards against wrong exit codes and against faults that the error omits.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			// misuse COMMAND... runs a command that must exit with code 2.
			"misuse": func(ts *testscript.TestScript, _ bool, args []string) {
				err := ts.Exec(args[0], args[1:]...)
				var exit *exec.ExitError
				if !errors.As(err, &exit) || exit.ExitCode() != 2 {
					ts.Fatalf("%v ended with %v, want exit status 2", args, err)
				}
			},
		},
	})
}
