//go:build review2

// Command stand-3 plays the cases 8 and 9 of the second review. Each case starts one entry host with the
// command of the deploy file, on loopback addresses, between stand-ins of the platform's store, of
// workers and of clients.
//
// # Usage
//
//	stand-3 CASE ROOT RECORD
//
// ROOT is the repository, RECORD the file that the case writes. With TROUBLE=0 the case does the
// same without the disruption. The exit code is 1 if the rule was broken, 0 if it held and 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// caseLimit is the longest time that a case may take.
const caseLimit = 115 * time.Second

func main() {
	cases := map[string]func(*rig){"part": playPart, "silent": playSilent}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-3 CASE ROOT RECORD")
		os.Exit(exitNotRun)
	}
	r := newRig(os.Args[2], os.Args[3])
	time.AfterFunc(caseLimit, func() { r.must(fmt.Errorf("it took longer than %v", caseLimit)) })
	cases[os.Args[1]](r)
}
