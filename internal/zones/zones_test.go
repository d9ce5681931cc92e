package zones_test

import (
	"fmt"
	"math"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"sesamehill.example/sesamehill/internal/zones"
)

// run plays a script and returns the expectations that do not hold.
func run(script string, change func(*world)) (failed []string, err error) {
	w := newWorld(1)
	change(w)
	since := 0
	for line := range strings.Lines(script) {
		f := strings.Fields(line)
		if len(f) == 0 || f[0] == "#" {
			continue
		}
		switch f[0] {
		case "play":
			seconds, err := strconv.Atoi(f[1])
			if err != nil {
				return nil, err
			}
			w.play(time.Duration(seconds) * time.Second)
		case "mark": // what follows is measured from here
			since = len(w.history)
			w.waits, w.calls = 0, 0
			for _, z := range w.zones {
				z.most = 0
			}
		case "expect":
			got, err := w.measure(f[1:len(f)-2], since)
			if err != nil {
				return nil, err
			}
			if !within(got, f[len(f)-2], f[len(f)-1]) {
				failed = append(failed, fmt.Sprintf("%s: got %.3f", strings.TrimSpace(line), got))
			}
		default:
			if err := set(w, f); err != nil {
				return nil, err
			}
		}
	}
	return failed, nil
}

func within(got float64, least, most string) bool {
	low, _ := strconv.ParseFloat(least, 64)
	high, _ := strconv.ParseFloat(most, 64)
	return got >= low && got <= high && !math.IsNaN(got)
}

// set applies a line of NAME VALUE pairs, after the name of a zone if the first word is
// "zone" and of two zones if it is "way".
func set(w *world, f []string) error {
	number := func(i int) float64 { v, _ := strconv.ParseFloat(f[i], 64); return v }
	switch f[0] {
	case "hosts":
		w.Hosts = int(number(1))
	case "age":
		w.Age = time.Duration(number(1)) * time.Millisecond
	case "service":
		w.Service = number(1)
	case "kept":
		w.Kind.KeptMs = number(1)
	case "way":
		w.WayMs[f[1]] = number(2)
	case "zone":
		z := w.zone(f[1])
		for i := 2; i+1 < len(f); i += 2 {
			switch f[i] {
			case "slots":
				z.Slots = int(number(i + 1))
			case "rate":
				z.Rate = number(i + 1)
			case "wave":
				z.Wave = number(i + 1)
			case "phase":
				z.Phase = number(i + 1)
			case "cold":
				z.Cold = f[i+1] == "yes"
			}
		}
	default:
		return fmt.Errorf("line %q does not exist", f[0])
	}
	return nil
}

// Guards against zones that send too late, too much or to and fro. Each script is named for
// the load that it plays, and does not hold if requests choose by their view alone.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, file := range files {
		archive, err := txtar.ParseFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, script := range archive.Files {
			t.Run(script.Name, func(t *testing.T) {
				failed, err := run(string(script.Data), func(*world) {})
				if err != nil || len(failed) > 0 {
					t.Errorf("%v\n%s", err, strings.Join(failed, "\n"))
				}
				if without, _ := run(string(script.Data), func(w *world) { w.Naive = true }); len(without) == 0 {
					t.Error("the script holds without the decision, too")
				} else {
					t.Logf("without the decision: %s", strings.Join(without, "; "))
				}
			})
		}
	}
}

// Guards against requests that leave the engine which keeps their prompt as waits change, and
// against those that go there for a prompt that is read sooner.
func TestKeptPrompts(t *testing.T) {
	p := zones.NewPlanner("a")
	for now := time.Duration(0); now < 10*time.Second; now += updateEvery {
		p.Update(now, zones.View{Hosts: 73, Zones: []zones.Zone{
			{Name: "a", Targets: 10, Slots: 100, Calls: 20, ServiceMs: 200},
			{Name: "b", Targets: 10, Slots: 100, Calls: 95, ServiceMs: 200, RoundTripMs: 40, ByteMs: 0.01},
		}})
		for key := range uint64(50) {
			if v := p.Verdict(now, zones.Kind{Bytes: 10_000, KeptMs: 150}, key, "b"); v.Reason != zones.Kept {
				t.Fatalf("a request leaves its prompt: %+v", v)
			}
			if v := p.Verdict(now, zones.Kind{Bytes: 10_000, KeptMs: 130}, key, "b"); v.Reason.Open() {
				t.Fatalf("a request goes to a busy zone: %+v", v)
			}
		}
	}
}

// Guards against prices that turn costs into gains or divide by zero.
func TestPricesCheck(t *testing.T) {
	good := zones.Prices{Zone: 0.01, Region: 0.02, Second: 0.001}
	if err := good.Check(); err != nil {
		t.Error(err)
	}
	for _, bad := range []zones.Prices{{}, {Zone: -1, Region: 1, Second: 1}, {Zone: 2, Region: 1, Second: 1}, {Zone: math.NaN(), Region: 1, Second: 1}, {Zone: 1, Region: 1}} {
		if bad.Check() == nil {
			t.Errorf("%+v is accepted", bad)
		}
	}
}

// Guards against a distance that follows a lost packet or an old measurement, and against
// probes of a zone that follow each other.
func TestTrips(t *testing.T) {
	trips := zones.NewTrips()
	trips.Record("a", 10*time.Millisecond, time.Second)
	trips.Record("a", 3*time.Second, 2*time.Second)
	if ms, age, ok := trips.RoundTripMs("a", 4*time.Second); !ok || ms != 10 || age != 3*time.Second {
		t.Errorf("round trip of %g ms, age %s, known %t", ms, age, ok)
	}
	trips.Record("a", 50*time.Millisecond, time.Minute)
	if ms, _, _ := trips.RoundTripMs("a", time.Minute); ms != 50 {
		t.Errorf("round trip of %g ms after a long pause", ms)
	}
	if trips.Due("a", 61*time.Second) || !trips.Due("b", 0) || trips.Due("b", time.Second) {
		t.Error("a zone is probed too early or too often")
	}
}
