package config

import (
	"fmt"
	"strings"
)

// Fault is one error in a file, with its remedy. Line is 0 if it is not known.
type Fault struct {
	Line    int    `json:"line,omitempty"`
	Key     string `json:"key"`
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

// String returns the key, the problem and the remedy on one line.
func (f Fault) String() string {
	if f.Key == "" {
		return fmt.Sprintf("%s; %s", f.Problem, f.Remedy)
	}
	return fmt.Sprintf("%s: %s; %s", f.Key, f.Problem, f.Remedy)
}

// FaultsError lists all faults of a file.
type FaultsError struct {
	File   string
	Faults []Fault
}

// Error returns one line for each fault, with file and line.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		position := e.File
		if f.Line > 0 {
			position = fmt.Sprintf("%s:%d", e.File, f.Line)
		}
		lines = append(lines, position+": "+f.String())
	}
	return strings.Join(lines, "\n")
}
