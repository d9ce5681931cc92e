package speed

import (
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// replay is a load of which a host measures the attempts.
type replay struct {
	Name               string
	Engines            int
	TokensPerMs, First float64
	Waits, WaitMs      float64
	Noise, NoiseX      float64
	NoiseMs            int
	Rate               int
	// SlowTarget is how long work takes at the first target, in multiples of the usual time,
	// LongWait the wait of its last attempt.
	SlowTarget, LongWait float64
	Tolerance            float64
}

const replayTime = time.Minute

// Guards against placement by the speed of other engines, and against waits and noise that
// are taken for the speed of a target.
func TestReplays(t *testing.T) {
	for _, r := range readReplays(t) {
		t.Run(r.Name, func(t *testing.T) {
			tracker := New()
			r.play(tracker)
			s := tracker.Service("llm", replayTime)
			if want := 1 / r.TokensPerMs; math.Abs(s.PrefillMs-want) > r.Tolerance*want {
				t.Errorf("prefill of a token takes %.4f ms, want %.4f", s.PrefillMs, want)
			}
			first := tracker.Target("llm", "a", replayTime)
			if want := max(r.SlowTarget, 1); math.Abs(first.Long-want) > r.Tolerance*want {
				t.Errorf("the first target is slow for long by %.2f, want %.2f", first.Long, want)
			}
		})
	}
}

func readReplays(t *testing.T) []replay {
	t.Helper()
	b, err := os.ReadFile("testdata/replays.toml")
	if err != nil {
		t.Fatal(err)
	}
	var file struct{ Replay []replay }
	if err := toml.Unmarshal(b, &file); err != nil {
		t.Fatal(err)
	}
	return file.Replay
}

// play lets a host measure attempts for replayTime.
func (r replay) play(tracker *Tracker) {
	random := rand.New(rand.NewPCG(1, uint64(r.Engines))) //nolint:gosec // a replay is the same each time
	step := time.Second / time.Duration(r.Rate)
	for now := time.Duration(0); now < replayTime; now += step {
		engine := random.IntN(r.Engines)
		r.attempt(tracker, random, engine, now)
	}
	if r.LongWait > 0 {
		tracker.RecordPrefill(Prefill{Service: "llm", Target: "a", Tokens: 100, Took: duration(r.LongWait)}, replayTime)
	}
}

func (r replay) attempt(tracker *Tracker, random *rand.Rand, engine int, now time.Duration) {
	tokens := 100 + random.IntN(12000)
	slow := r.slowdownOf(engine, now)
	took := (r.First + float64(tokens)/r.TokensPerMs) * slow
	if engine == 0 && r.SlowTarget > 0 {
		took *= r.SlowTarget
	}
	if random.Float64() < r.Waits {
		took += r.WaitMs * random.Float64()
	}
	id := string(rune('a' + engine))
	if r.Noise > 0 {
		tracker.RecordReport("llm", id, slow, now)
	}
	tracker.RecordPrefill(Prefill{Service: "llm", Target: id, Tokens: tokens, Took: duration(took)}, now)
}

// slowdownOf returns how long work takes at a target that shares its machine.
func (r replay) slowdownOf(engine int, now time.Duration) float64 {
	if r.Noise == 0 {
		return 1
	}
	span := uint64(now / (time.Duration(r.NoiseMs) * time.Millisecond))  //nolint:gosec // never negative
	if rand.New(rand.NewPCG(uint64(engine), span)).Float64() < r.Noise { //nolint:gosec // a replay is the same each time
		return r.NoiseX
	}
	return 1
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Guards against an old report that keeps requests from a target whose state changes many
// times a second, and against a new one that does not.
func TestReportLosesWeightWithAge(t *testing.T) {
	tracker := New()
	r := replay{Engines: 8, Noise: 0.15, NoiseX: 2.5, NoiseMs: 600}
	for now := time.Duration(0); now < replayTime; now += 50 * time.Millisecond {
		for engine := range r.Engines {
			tracker.RecordReport("llm", string(rune('a'+engine)), r.slowdownOf(engine, now), now)
		}
	}
	tracker.RecordReport("llm", "x", 2.5, replayTime)
	tracker.RecordReport("llm", "y", 1, replayTime)
	slow, usual := tracker.Target("llm", "x", replayTime), tracker.Target("llm", "y", replayTime)
	if slow.Slowdown < 2.2 || usual.Slowdown > 1.1 {
		t.Errorf("right after their reports the targets are slow by %.2f and %.2f, want 2.5 and 1", slow.Slowdown, usual.Slowdown)
	}
	later := replayTime + 3*time.Second
	slow, usual = tracker.Target("llm", "x", later), tracker.Target("llm", "y", later)
	if math.Abs(slow.Slowdown-usual.Slowdown) > 0.3 {
		t.Errorf("3 s after their reports the targets are slow by %.2f and %.2f, want nearly the same", slow.Slowdown, usual.Slowdown)
	}
	if slow.Age != 3*time.Second {
		t.Errorf("age of the measurement is %s, want 3s", slow.Age)
	}
}

// Guards against targets and services that are treated as slow or fast without measurements,
// and against a slow target that gets no requests ever after.
func TestNothingIsSaidWithoutMeasurements(t *testing.T) {
	tracker := New()
	if got := tracker.Service("llm", 0); got != (Service{}) {
		t.Errorf("speed of an unknown service is %+v", got)
	}
	if got := tracker.Target("llm", "a", 0).Slowdown; got != 1 {
		t.Errorf("slowdown of an unknown target is %g, want 1", got)
	}
	r := replay{Engines: 12, TokensPerMs: 68, First: 36, Rate: 60, SlowTarget: 4}
	r.play(tracker)
	if got := tracker.Target("llm", "a", replayTime+time.Minute).Long; got > 1.1 {
		t.Errorf("a minute after its last attempt a target is slow for long by %.2f, want 1", got)
	}
}

// Guards against plain work whose time is measured with that of the queue before it.
func TestPlainWork(t *testing.T) {
	tracker := New()
	for i := range 60 {
		now := time.Duration(i) * 100 * time.Millisecond
		tracker.RecordPlain(Plain{Service: "app", Target: "a", Took: 60 * time.Millisecond}, now)
		tracker.RecordPlain(Plain{Service: "app", Target: "a", Queued: 5, Took: 400 * time.Millisecond}, now)
	}
	if got := tracker.Service("app", 6*time.Second).PlainMs; math.Abs(got-60) > 1 {
		t.Errorf("plain work takes %.1f ms, want 60", got)
	}
}

// Guards against measured targets that look faster than those without measurements where
// plain work takes less than a millisecond.
func TestPlainWorkBelowMillisecond(t *testing.T) {
	tracker := New()
	now := time.Duration(0)
	for range 100 {
		now += 10 * time.Millisecond
		tracker.RecordPlain(Plain{Service: "app", Target: "a", Took: 200 * time.Microsecond}, now)
	}
	if long := tracker.Target("app", "a", now).Long; long != 1 {
		t.Errorf("a usual target counts as slow by %.2f, want 1", long)
	}
}
