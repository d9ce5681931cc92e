package kvcat

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// Guards against fetches over slow links, which keep the link of the store from others, of
// what the engines read in a shorter time.
func TestFetchPays(t *testing.T) {
	playScript(t, "testdata/fetchpays.txt", func(given string) string {
		var tokens int
		var fetchMs, factor, prefillMs float64
		scan(t, given, &tokens, &fetchMs, &factor, &prefillMs)
		if fetchPays(tokens, fetchMs, 1, factor, prefillMs) {
			return "yes"
		}
		return "no"
	})
}

// playScript plays the lines "GIVEN => WANT: LOAD" of a file.
func playScript(t *testing.T, file string, play func(given string) string) {
	t.Helper()
	script, err := os.ReadFile(file) //nolint:gosec // a file of this package
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(script)) {
		given, want, ok := strings.Cut(strings.TrimSpace(line), " => ")
		if !ok {
			continue
		}
		want, load, _ := strings.Cut(want, ": ")
		if got := play(given); got != want {
			t.Errorf("%s: got %s, want %s", load, got, want)
		}
	}
}

func scan(t *testing.T, text string, values ...any) {
	t.Helper()
	if _, err := fmt.Sscan(text, values...); err != nil {
		t.Fatalf("%q: %v", text, err)
	}
}
