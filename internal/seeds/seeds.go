// Package seeds sets a fixed seed for property tests, so that repeated runs on an
// unchanged tree have the same result.
//
// A test file imports it for its side effect:
//
//	import _ "sesamehill.example/sesamehill/internal/seeds"
//
// To use another seed, pass it as a flag, which takes precedence:
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
