package main

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"flag"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"sesamehill.example/sesamehill/pkg/config"
)

// keyBytes is the length of a key. A random key of 256 bits cannot be guessed, so
// its hash needs neither a salt nor a slow hash function.
const keyBytes = 32

type keysCommand struct {
	json bool
}

// keyPair is a key and its hash.
type keyPair struct {
	Key  string `json:"key"`
	Hash string `json:"hash"`
}

func (*keysCommand) Name() string     { return "keys" }
func (*keysCommand) Synopsis() string { return "generate a key for an account or operator" }

func (*keysCommand) Usage() string {
	return `sesamectl keys [-json]
	Generates a key and prints it once, with its hash. Add the hash to "keys" of an
	account in the configuration document, or to "operators" in the settings file.
	The key itself is not stored: pass it to its user.

	Example:
	  sesamectl keys
`
}

func (c *keysCommand) SetFlags(f *flag.FlagSet) { f.BoolVar(&c.json, "json", false, "print JSON") }

func (c *keysCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := checkNoArguments(f); err != nil {
		return exitStatus(err)
	}
	k, err := newKey()
	if err != nil {
		return exitStatus(err)
	}
	if c.json {
		return exitStatus(printJSON(k))
	}
	printTable([]string{"KIND", "VALUE"}, [][]string{{"key", k.Key}, {"hash", k.Hash}})
	return subcommands.ExitSuccess
}

func newKey() (keyPair, error) {
	b := make([]byte, keyBytes)
	if _, err := rand.Read(b); err != nil {
		return keyPair{}, errors.Annotate(err, "generate a key")
	}
	key := base64.RawURLEncoding.EncodeToString(b)
	return keyPair{Key: key, Hash: config.HashKey(key)}, nil
}
