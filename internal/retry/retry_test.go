package retry_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rogpeppe/go-internal/txtar"
	"pgregory.net/rapid"

	"sesamehill.example/sesamehill/internal/retry"
	_ "sesamehill.example/sesamehill/internal/seeds"
	"sesamehill.example/sesamehill/internal/target"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

// Guards against a repeated non-idempotent request, a false "no", and a request
// held until its deadline.
var _ = Describe("Decide", func() {
	archive, err := txtar.ParseFile("testdata/decide.txtar")
	if err != nil {
		panic(err)
	}
	for _, f := range archive.Files {
		It(f.Name, func() {
			start := time.Now()
			r := rand.New(rand.NewPCG(1, 2))
			i := retry.Input{Idempotent: strings.HasPrefix(f.Name, "idempotent"), Deadline: start.Add(10 * time.Second)}
			for line := range strings.Lines(string(f.Data)) {
				input, want, _ := strings.Cut(strings.TrimSpace(line), " => ")
				var outcome string
				var emitted int
				_, err := fmt.Sscan(input, &outcome, &emitted)
				Expect(err).NotTo(HaveOccurred())
				now := start
				if _, at, ok := strings.Cut(input, " at "); ok {
					d, err := time.ParseDuration(at)
					Expect(err).NotTo(HaveOccurred())
					now = start.Add(d)
				}
				name, after, _ := strings.Cut(outcome, ":")
				wish, _ := time.ParseDuration(after)
				o, ok := map[string]retry.Outcome{
					"refused": retry.Refused{After: wish}, "broke": retry.Broke{}, "left": retry.Left{},
				}[name]
				Expect(ok).To(BeTrue(), line)
				i = i.After(o, emitted)
				i.Budget = !strings.HasSuffix(input, "empty")
				got := ""
				switch d := retry.Decide(i, now, r).(type) {
				case retry.Retry:
					got = "retry"
					mean := 25 * time.Millisecond << (i.Attempts - 1)
					Expect(d.After).To(BeNumerically("~", mean, mean/2))
				case retry.Resume:
					got = fmt.Sprint("resume ", d.Emitted)
				case retry.GiveUp:
					got = fmt.Sprint("giveup ", d.Run)
					Expect(d.Retry).To(BeNumerically(">=", max(time.Second, wish)))
				}
				Expect(got).To(Equal(want), line)
			}
		})
	}

	// Guards against an error of unknown meaning being taken for "not run".
	It("counts only NotRunError as refused", func() {
		not := &target.NotRunError{Target: "a", Reason: "full"}
		Expect(retry.Classify(fmt.Errorf("call: %w", not))).To(Equal(retry.Refused{}))
		Expect(retry.Classify(&target.BrokenError{})).To(Equal(retry.Broke{}))
		Expect(retry.Classify(errors.New("reset"))).To(Equal(retry.Broke{}))
	})
})

// Guards against a retry storm: when every target of a zone is gone, attempts
// stay below 1.1 times the requests plus the burst, for the host and for each
// account, also when one account sends most requests.
func TestAttemptsStayBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := retry.New()
		now, r := time.Now(), rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		accounts := rapid.IntRange(1, 10).Draw(t, "accounts")
		requests, attempts := map[int]int{}, map[int]int{}
		total, all := 0, 0
		for range rapid.IntRange(1, 3000).Draw(t, "requests") {
			a := min(r.IntN(accounts), r.IntN(accounts))
			name := fmt.Sprint(a)
			p.Request(name)
			requests[a]++
			total++
			i := retry.Input{Idempotent: true, Deadline: now.Add(time.Minute)}
			for again := true; again; {
				attempts[a]++
				all++
				o := retry.Outcome(retry.Refused{})
				if r.IntN(2) == 0 {
					o = retry.Broke{}
				}
				i = i.After(o, r.IntN(3))
				_, gaveUp := p.Next(name, i, now, r).(retry.GiveUp)
				again = !gaveUp
			}
			if all*10 > total*11+100 || attempts[a]*10 > requests[a]*11+100 {
				t.Fatalf("%d attempts for %d requests, account: %d for %d", all, total, attempts[a], requests[a])
			}
		}
		// A budget that allowed nothing would pass the bound, too.
		if total > 300 && all < total+total/20 {
			t.Fatalf("only %d attempts for %d requests", all, total)
		}
	})
}

// Guards against a caller receiving tokens of another run, out of order, twice
// or of another weight version, and against a truncated answer that looks whole.
func TestStreamDeliversOnlyItsAttempt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := rapid.IntRange(0, 3).Draw(t, "start")
		s := retry.Stream{Attempt: "mine", Version: "1", Next: start}
		size := start + rapid.IntRange(0, 5).Draw(t, "size")
		var got []int
		ended, broken := false, false
		for range rapid.IntRange(0, 30).Draw(t, "chunks") {
			c := target.Chunk{Attempt: "mine", Version: "1", Offset: s.Next, Done: s.Next == size}
			switch rapid.IntRange(0, 12).Draw(t, "fault") {
			case 0:
				c.Attempt = rapid.SampledFrom([]string{"", "other"}).Draw(t, "attempt")
			case 1:
				c.Version = "2"
			case 2:
				c.Offset += rapid.IntRange(-2, 2).Draw(t, "shift")
			case 3:
				c.Done = !c.Done
			}
			own := c.Attempt == "mine" && c.Version == "1" && c.Offset == s.Next && !ended
			next, v := s.Accept(c)
			switch v.(type) {
			case retry.Deliver:
				got = append(got, c.Offset)
				if !own || c.Done {
					t.Fatalf("delivered %+v at %d", c, s.Next)
				}
			case retry.End:
				ended = true
				if !own || !c.Done {
					t.Fatalf("ended by %+v at %d", c, s.Next)
				}
			case retry.Reject:
				broken = true
			case retry.Drop:
				if own {
					t.Fatalf("dropped %+v at %d", c, s.Next)
				}
			}
			if s = next; broken {
				break
			}
		}
		for i, o := range got {
			if o != start+i {
				t.Fatalf("delivered offsets %v from %d", got, start)
			}
		}
		if (s.Close() == nil) != ended {
			t.Fatalf("Close returned %v, ended is %v", s.Close(), ended)
		}
	})
}

// Guards against a stream that carries only the chunks of others for ever.
func TestStreamOfOthersIsRejected(t *testing.T) {
	s, n := retry.Stream{Attempt: "mine"}, 0
	for ; n < 1000; n++ {
		var v retry.Verdict
		if s, v = s.Accept(target.Chunk{Attempt: "other"}); v != (retry.Drop{Reason: `chunk belongs to attempt "other"`}) {
			break
		}
	}
	if n != 64 {
		t.Fatalf("rejected after %d chunks", n)
	}
}
