package config

import (
	"bytes"
	"strings"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"
)

// ParseDocument decodes and checks a document in TOML. The error is a
// *FaultsError that lists every fault; file is used only to name the source in it.
func ParseDocument(file string, data []byte) (*Document, error) {
	d := &Document{}
	faults := decodeTOML(data, d)
	syntaxError := len(faults) == 1 && faults[0].Line > 0
	if !syntaxError {
		faults = append(faults, dropImpliedFaults(d.Check(), faults)...)
	}
	if len(faults) > 0 {
		setLines(data, faults)
		return nil, &FaultsError{File: file, Faults: faults}
	}
	return d, nil
}

// Format encodes the document as TOML that ParseDocument accepts.
func (d *Document) Format() ([]byte, error) {
	var b bytes.Buffer
	if err := toml.NewEncoder(&b).Encode(d); err != nil {
		return nil, errors.Annotate(err, "encode the configuration document")
	}
	return b.Bytes(), nil
}

// dropImpliedFaults drops the faults that are caused by a fault in reported. For
// example, a value of the wrong type would otherwise also be reported as missing.
func dropImpliedFaults(faults, reported []Fault) []Fault {
	var remaining []Fault
	for _, f := range faults {
		implied := false
		for _, k := range reported {
			implied = implied || f.Key == k.Key || strings.HasPrefix(k.Key, f.Key+"[") || strings.HasPrefix(f.Key, k.Key+"[")
		}
		if !implied {
			remaining = append(remaining, f)
		}
	}
	return remaining
}
