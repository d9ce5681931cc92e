package crash

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
)

// partScript runs the lines of a script on trackers of three hosts.
type partScript struct {
	t         *testing.T
	now       time.Time
	hosts     map[string]*Tracker
	cancelled chan string
}

// Guards against requests that share one part of their prompts and crash one target
// after the other, and against sound requests that are refused beside them.
func TestParts(t *testing.T) {
	archive, err := txtar.ParseFile(filepath.Join("testdata", "parts.txtar"))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range archive.Files {
		t.Run(f.Name, func(t *testing.T) {
			s := &partScript{t: t, now: start, hosts: map[string]*Tracker{}, cancelled: make(chan string, 16)}
			for i, name := range []string{"a", "b", "c"} {
				s.hosts[name] = New()
				s.hosts[name].trialDelay = time.Duration(i) * time.Minute
			}
			for line := range strings.Lines(string(f.Data)) {
				s.run(strings.TrimSpace(line))
			}
		})
	}
}

func (s *partScript) run(line string) {
	s.t.Helper()
	command, want, _ := strings.Cut(line, " => ")
	f := strings.Fields(command)
	switch f[0] {
	case "after":
		d, err := time.ParseDuration(f[1])
		if err != nil {
			s.t.Fatal(err)
		}
		s.now = s.now.Add(d)
	case "exchange":
		for _, from := range s.hosts {
			for _, to := range s.hosts {
				if err := to.Import(from.Export(12, s.now), s.now); err != nil {
					s.t.Fatal(err)
				}
			}
		}
	case "begin":
		s.begin(line, f, want != "no")
	case "import":
		s.importCrashes(f)
	case "answer":
		s.hosts[f[1]].Answered(f[2], s.now)
	case "crash":
		s.hosts[f[1]].End(f[2], Crashed, s.now)
	case "admit":
		if got := decisionName(s.hosts[f[1]].Admit(requestPrint(f[2]), s.now, partPrints(f[3])...)); got != want {
			s.t.Fatalf("%s: got %s", line, got)
		}
	case "cancelled":
		select {
		case got := <-s.cancelled:
			if got != f[1] {
				s.t.Fatalf("%s: got %s", line, got)
			}
		case <-time.After(time.Second):
			s.t.Fatalf("%s: no attempt was cancelled", line)
		}
	case "running":
		select {
		case got := <-s.cancelled:
			s.t.Fatalf("%s: %s was cancelled", line, got)
		case <-time.After(50 * time.Millisecond):
		}
	default:
		s.t.Fatalf("unknown command: %s", line)
	}
}

func (s *partScript) begin(line string, f []string, want bool) {
	s.t.Helper()
	t := s.hosts[f[1]]
	if got := t.BeginShared(requestPrint(f[2]), f[2], f[3], s.now, partPrints(f[4])...); got != want {
		s.t.Fatalf("%s: got %v", line, got)
	}
	t.CancelOnQuarantine(f[2], func() { s.cancelled <- f[2] })
}

// importCrashes imports that a number of attempts with a part were in flight at the crash
// of a target some time ago: import HOST PART ATTEMPTS TARGET AGE.
func (s *partScript) importCrashes(f []string) {
	s.t.Helper()
	attempts, err := strconv.Atoi(f[3])
	if err != nil {
		s.t.Fatal(err)
	}
	age, err := time.ParseDuration(f[5])
	if err != nil {
		s.t.Fatal(err)
	}
	for i := range attempts {
		h := History{Depth: 2, Crashes: []Crash{{ID: attemptID(fmt.Sprint(f[4], "/", i), f[4]), At: s.now.Add(-age)}}}
		if err := s.hosts[f[1]].Import([]Record{h.record(partPrints(f[2])[0], s.now)}, s.now); err != nil {
			s.t.Fatal(err)
		}
	}
}

func requestPrint(name string) Fingerprint { return NewFingerprint(name, "m", nil) }

func partPrints(list string) []Fingerprint {
	var parts []Fingerprint
	for id := range strings.SplitSeq(list, ",") {
		parts = append(parts, NewPartFingerprint("m", id))
	}
	return parts
}

func decisionName(d Decision) string {
	switch d.(type) {
	case Run:
		return "run"
	case Isolate:
		return "isolate"
	case Wait:
		return "wait"
	case Refuse:
		return "refuse"
	}
	return "unknown"
}
