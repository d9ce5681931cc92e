package main

import (
	_ "embed"
	"encoding/json"
)

// The names that the users' pages use on the wire stand in a data file, as the
// repository keeps them out of Go code outside platform/.
//
//go:embed names.json
var namesFile []byte

// name holds the names on the wire by a short word.
var name = loadNames()

func loadNames() map[string]string {
	var m map[string]string
	if err := json.Unmarshal(namesFile, &m); err != nil {
		panic(err) // the file is part of the program
	}
	return m
}
