package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/google/subcommands"
	jerrors "github.com/juju/errors"
	"golang.org/x/term"

	"sesamehill.example/sesamehill/pkg/config"
)

const (
	red         = "\x1b[31m"
	green       = "\x1b[32m"
	yellow      = "\x1b[33m"
	resetColour = "\x1b[0m"
)

// supportsColour reports whether f is a terminal that shows colours.
func supportsColour(f *os.File) bool {
	return os.Getenv("NO_COLOR") == "" && os.Getenv("TERM") != "dumb" && term.IsTerminal(int(f.Fd()))
}

// paint returns s in the given colour if f supports colours.
func paint(f *os.File, colour, s string) string {
	if colour == "" || !supportsColour(f) {
		return s
	}
	return colour + s + resetColour
}

// exitStatus prints err, if it is not nil, and returns the exit status.
func exitStatus(err error) subcommands.ExitStatus {
	var usage *usageError
	var faults *config.FaultsError
	switch {
	case err == nil:
		return subcommands.ExitSuccess
	case errors.As(err, &faults):
		fmt.Fprintln(os.Stderr, faults.Error())
		return subcommands.ExitUsageError
	}
	fmt.Fprintln(os.Stderr, paint(os.Stderr, red, "sesamectl: ")+err.Error())
	if errors.As(err, &usage) {
		return subcommands.ExitUsageError
	}
	return subcommands.ExitFailure
}

func printJSON(v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return jerrors.Trace(err)
	}
	_, err = fmt.Println(string(b))
	return jerrors.Trace(err)
}

// printTable prints rows in aligned columns. On a terminal, states are coloured.
func printTable(headings []string, rows [][]string) {
	widths := make([]int, len(headings))
	for _, r := range append([][]string{headings}, rows...) {
		for i, c := range r {
			widths[i] = max(widths[i], utf8.RuneCountInString(c))
		}
	}
	printRow := func(cells []string, colour func(string) string) {
		var b strings.Builder
		for i, c := range cells {
			b.WriteString(paint(os.Stdout, colour(c), c))
			if i < len(cells)-1 {
				b.WriteString(strings.Repeat(" ", widths[i]-utf8.RuneCountInString(c)+2))
			}
		}
		fmt.Println(strings.TrimRight(b.String(), " "))
	}
	printRow(headings, func(string) string { return "" })
	for _, r := range rows {
		printRow(r, stateColour)
	}
}

func stateColour(s string) string {
	switch s {
	case "live", "ready":
		return green
	case "leaving", "suspect", "loading", "waiting":
		return yellow
	case "dead", "failed", "no":
		return red
	}
	return ""
}

// progress shows the progress of a command on standard error: on one line that is
// updated if it is a terminal, else on a new line for each new text.
type progress struct {
	out   *os.File
	last  string
	width int
}

func newProgress() *progress { return &progress{out: os.Stderr} }

func (p *progress) show(format string, args ...any) {
	s := fmt.Sprintf(format, args...)
	if s == p.last {
		return
	}
	p.last = s
	if !term.IsTerminal(int(p.out.Fd())) {
		_, _ = fmt.Fprintln(p.out, s)
		return
	}
	_, _ = fmt.Fprintf(p.out, "\r%s%s", s, strings.Repeat(" ", max(0, p.width-len(s))))
	p.width = len(s)
}

// end ends the line that is updated.
func (p *progress) end() {
	if p.width > 0 {
		_, _ = fmt.Fprintln(p.out)
		p.width = 0
	}
}

func printFaults(w io.Writer, file, label string, faults []config.Fault) {
	for _, f := range faults {
		position := file
		if f.Line > 0 {
			position = fmt.Sprintf("%s:%d", file, f.Line)
		}
		_, _ = fmt.Fprintf(w, "%s: %s%s\n", position, label, f)
	}
}

// formatTime formats a time in UTC.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "unknown"
	}
	return t.UTC().Format(time.RFC3339)
}
