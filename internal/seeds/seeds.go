// Package seeds gives property tests a fixed seed, so that a run on an unchanged
// tree has the same verdict each time.
//
// A test file imports it for its effect:
//
//	import _ "sesamehill.example/sesamehill/internal/seeds"
//
// Other seeds are played by hand, with a flag that goes before it:
//
//	go test ./internal/watch -rapid.seed=7 -rapid.checks=3000
package seeds

import (
	"flag"

	_ "pgregory.net/rapid" // defines the flag
)

const fixedSeed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", fixedSeed); err != nil {
		panic(err)
	}
}
