package kvcat

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Guards against requests that are late because they wait for a fetch that is discarded
// then, while the engine could have read the prompt in time.
func TestFetchLimit(t *testing.T) {
	script, err := os.ReadFile("testdata/fetchlimit.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(script)) {
		given, want, ok := strings.Cut(line, " => ")
		if !ok {
			continue
		}
		want, load, _ := strings.Cut(strings.TrimSpace(want), ": ")
		expected, left, _ := strings.Cut(given, " ")
		expectedMs, err := strconv.ParseFloat(expected, 64)
		if err != nil {
			t.Fatal(err)
		}
		remaining, err := time.ParseDuration(left)
		if err != nil {
			t.Fatal(err)
		}
		if got := fetchLimit(expectedMs, remaining).String(); got != want {
			t.Errorf("%s: a fetch may take %s, want %s", load, got, want)
		}
	}
}
