package crash

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var sessionSeeds = flag.Int("session.seeds", 20, "the number of seeds of TestFatalPartsOfSessions")

// Parameters of the sessions whose requests hold a part that crashes engines.
const (
	sessionTime = 60 * time.Second
	// minSessionInterval and maxSessionInterval bound the mean time between the starts of two
	// sessions, which is another one for each seed. turnInterval is the mean time between two
	// requests of a session, and sessionTurns the most requests with the fatal part that it
	// sends.
	minSessionInterval = 500 * time.Millisecond
	maxSessionInterval = 4 * time.Second
	turnInterval       = 600 * time.Millisecond
	sessionTurns       = 3
	// contactTime is the time in which hosts learn of a crash, contactCrash the crash from
	// which it counts, and lateArrivals the number of requests with the part that may
	// reach engines later.
	contactTime  = 4 * time.Second
	contactCrash = 5
	lateArrivals = 3
)

// sessionFleet is a fleet with sessions whose requests hold a part of their session and, for
// some of them, a part that crashes engines.
type sessionFleet struct {
	*randomFleet
	fatalParts []Fingerprint
	sessions   int
	interval   time.Duration
	// crashesUnder counts the crashes under each fatal part, fifthCrash has the time of the one
	// from which the contact time counts, and late counts the requests with the part that
	// reached engines after that.
	crashesUnder map[Fingerprint]int
	fifthCrash   map[Fingerprint]time.Duration
	late         map[Fingerprint]int
	// soundSent and soundRefused are requests of sessions without a fatal part, sent
	// later than twice the contact time after that crash.
	soundSent, soundRefused int
}

func newSessionFleet(seed uint64, fatalParts int) *sessionFleet {
	f := &sessionFleet{
		randomFleet: newRandomFleet(seed), crashesUnder: map[Fingerprint]int{}, fifthCrash: map[Fingerprint]time.Duration{},
		late: map[Fingerprint]int{},
	}
	f.interval = minSessionInterval + time.Duration(f.random.Int64N(int64(maxSessionInterval-minSessionInterval)))
	for i := range fatalParts {
		p := NewPartFingerprint("m", fmt.Sprint("fatal-", i))
		f.fatal[p] = true
		f.fatalParts = append(f.fatalParts, p)
	}
	f.onFatalCrash = func(p Fingerprint) {
		f.crashesUnder[p]++
		if f.crashesUnder[p] == contactCrash {
			f.fifthCrash[p] = f.now
		}
	}
	f.onArrival = func(a *randomAttempt) {
		for _, p := range a.parts {
			if f.fatal[p] && f.isPast(p, contactTime) {
				f.late[p]++
			}
		}
	}
	f.after(2*time.Second, f.nextSession)
	return f
}

// isPast reports whether a time has passed since the crash under a part from which it counts.
func (f *sessionFleet) isPast(p Fingerprint, d time.Duration) bool {
	at, ok := f.fifthCrash[p]
	return ok && f.now > at+d
}

// nextSession starts a session: some requests with a fatal part, and a sound one.
func (f *sessionFleet) nextSession() {
	f.sessions++
	account := NewPartFingerprint("m", fmt.Sprint("account-", f.random.IntN(randomAccounts)))
	own := NewPartFingerprint("m", fmt.Sprint("session-", f.sessions))
	fatal := f.fatalParts[f.random.IntN(len(f.fatalParts))]
	at := time.Duration(0)
	for range 1 + f.random.IntN(sessionTurns) {
		f.after(at, func() { f.send(account, fatal, own) })
		at += f.exponential(turnInterval)
	}
	f.after(at, func() {
		if f.isPast(fatal, 2*contactTime) {
			f.countSound(account, own)
		}
		f.send(account, own)
	})
	f.after(f.exponential(f.interval), f.nextSession)
}

func (f *sessionFleet) send(parts ...Fingerprint) {
	f.requests++
	f.attempt(&randomAttempt{request: f.requests, parts: parts, host: f.random.IntN(randomHosts)}, 0)
}

// countSound counts a sound request, and whether all hosts refuse it.
func (f *sessionFleet) countSound(parts ...Fingerprint) {
	f.soundSent++
	for _, h := range f.hosts {
		if _, refused := h.Admit(Fingerprint{}, f.time(), parts...).(Refuse); !refused {
			return
		}
	}
	f.soundRefused++
}

// Guards against a sound part that is quarantined in place of the one that crashes engines,
// with each further session anew, so that requests with the latter reach engines without an
// end, and sound requests of the sessions are refused.
func TestFatalPartsOfSessions(t *testing.T) {
	for _, fatalParts := range []int{1, 2} {
		t.Run(fmt.Sprint(fatalParts, " parts"), func(t *testing.T) {
			late, refused, wrong := 0, 0, 0
			for seed := range uint64(*sessionSeeds) {
				f := newSessionFleet(seed, fatalParts)
				f.run(sessionTime)
				for p, n := range f.late {
					if n > lateArrivals {
						late++
						t.Logf("seed %d: %d requests with part %v reached engines late, %d crashes", seed, n, p, f.crashesUnder[p])
					}
				}
				if f.soundSent >= 4 && 2*f.soundRefused > f.soundSent {
					refused++
					t.Logf("seed %d: %d of %d sound requests were refused", seed, f.soundRefused, f.soundSent)
				}
				for i, h := range f.hosts {
					for p := range h.verdicts.quarantined {
						if !f.fatal[p] {
							wrong++
							t.Logf("seed %d: host %d has a sound part in quarantine at the end", seed, i)
						}
					}
				}
			}
			if late > 0 || refused > 0 || wrong > 0 {
				t.Errorf("in %d seeds, %d parts reached engines too often, %d times sound requests were refused; %d sound parts were in quarantine at the end", *sessionSeeds, late, refused, wrong)
			}
		})
	}
}

// Guards against hosts with the same records that come to other verdicts, because the records
// reached them in another order.
func TestVerdictsIndependentOfOrder(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 2))
		now := start.Add(time.Minute)
		records := randomRecords(r, now)
		want := verdictsInOrder(t, records, r.Perm(len(records)), now)
		for range 5 {
			if got := verdictsInOrder(t, records, r.Perm(len(records)), now); !slices.Equal(got, want) {
				t.Fatalf("seed %d: %v in one order, %v in another one", seed, want, got)
			}
		}
	}
}

// verdictsInOrder returns the parts that a host quarantines which receives records one after
// the other.
func verdictsInOrder(t *testing.T, records []Record, order []int, now time.Time) []string {
	t.Helper()
	h := New()
	for _, i := range order {
		if err := h.Import(records[i:i+1], now); err != nil {
			t.Fatal(err)
		}
	}
	var found []string
	for p := range h.verdicts.quarantined {
		found = append(found, p.String())
	}
	slices.Sort(found)
	return found
}

// randomRecords returns one record for each part and crash: of sessions with a fatal part, and
// of requests that were in flight beside them.
func randomRecords(r *rand.Rand, now time.Time) []Record {
	parts := map[Fingerprint][]Record{}
	add := func(p Fingerprint, depth int, c Crash, survived time.Time) {
		parts[p] = append(parts[p], History{Depth: depth, Crashes: []Crash{c}, Survived: survived}.record(p, now))
	}
	common, fatal := NewPartFingerprint("m", "common"), NewPartFingerprint("m", "fatal")
	survived := now.Add(-time.Duration(r.IntN(60)) * time.Second)
	for i := range 3 + r.IntN(maxStoredCrashes-3) {
		c := Crash{ID: attemptID(fmt.Sprint(i), fmt.Sprint(i)), At: start.Add(time.Duration(i)*time.Second + time.Duration(r.IntN(900))*time.Millisecond)}
		own := NewPartFingerprint("m", fmt.Sprint("session-", i/(1+r.IntN(4))))
		add(common, 1, c, survived)
		if r.IntN(4) > 0 {
			add(fatal, 2, c, time.Time{})
		}
		add(own, 3, c, time.Time{})
		if r.IntN(3) == 0 {
			beside := NewPartFingerprint("m", fmt.Sprint("beside-", r.IntN(2)))
			add(beside, 1+r.IntN(3), Crash{ID: attemptID(fmt.Sprint("beside", i), fmt.Sprint(i)), At: c.At.Add(time.Duration(r.IntN(100)) * time.Millisecond)}, time.Time{})
		}
	}
	var records []Record
	for _, p := range slices.SortedFunc(maps.Keys(parts), func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) }) {
		records = append(records, parts[p]...)
	}
	return records
}
