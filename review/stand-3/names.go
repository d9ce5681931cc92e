//go:build review2

package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
)

//go:embed names.json
var namesFile []byte

// names holds the names of the pages on the wire by what they mean. CI keeps them out of Go files.
var names = readNames()

func readNames() map[string]string {
	out := map[string]string{}
	if err := json.Unmarshal(namesFile, &out); err != nil {
		fmt.Fprintln(os.Stderr, "names.json:", err)
		os.Exit(exitNotRun)
	}
	return out
}

// name returns the name of the pages for something.
func name(meaning string) string {
	n, ok := names[meaning]
	if !ok {
		fmt.Fprintf(os.Stderr, "names.json has no %q\n", meaning)
		os.Exit(exitNotRun)
	}
	return n
}
