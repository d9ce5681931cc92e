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

// Guards against a retried non-idempotent request, a false "no", and a request
// that is held until its deadline although it can no longer succeed.
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
				name, delay, _ := strings.Cut(outcome, ":")
				retryAfter, _ := time.ParseDuration(delay)
				o, ok := map[string]retry.Outcome{
					"refused": retry.Refused{RetryAfter: retryAfter}, "broke": retry.Broken{}, "left": retry.Disconnected{},
				}[name]
				Expect(ok).To(BeTrue(), line)
				i = i.WithOutcome(o, emitted)
				i.HasBudget = !strings.HasSuffix(input, "empty")
				got := ""
				switch d := retry.Decide(i, now, r).(type) {
				case retry.Retry:
					got = "retry"
					mean := 25 * time.Millisecond << (i.Attempts - 1)
					Expect(d.Delay).To(BeNumerically("~", mean, mean/2))
				case retry.Resume:
					got = fmt.Sprint("resume ", d.Emitted)
				case retry.GiveUp:
					got = fmt.Sprint("giveup ", d.Run)
					Expect(d.RetryAfter).To(BeNumerically(">=", max(time.Second, retryAfter)))
				}
				Expect(got).To(Equal(want), line)
			}
		})
	}

	// Guards against an unknown error being classified as "not run".
	It("classifies only NotRunError as refused", func() {
		notRun := &target.NotRunError{Target: "a", Reason: "full"}
		Expect(retry.Classify(fmt.Errorf("call: %w", notRun))).To(Equal(retry.Refused{}))
		Expect(retry.Classify(&target.BrokenError{})).To(Equal(retry.Broken{}))
		Expect(retry.Classify(errors.New("reset"))).To(Equal(retry.Broken{}))
	})
})

// Guards against a retry storm when every target of a zone fails. Attempts stay
// below 1.1 times the requests plus the burst, for the host and for each account,
// even if one account sends most requests.
func TestAttemptsStayBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := retry.New()
		now, r := time.Now(), rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		accounts := rapid.IntRange(1, 10).Draw(t, "accounts")
		requests, attempts := map[int]int{}, map[int]int{}
		totalRequests, totalAttempts := 0, 0
		for range rapid.IntRange(1, 3000).Draw(t, "requests") {
			a := min(r.IntN(accounts), r.IntN(accounts))
			name := fmt.Sprint(a)
			p.AddRequest(name)
			requests[a]++
			totalRequests++
			i := retry.Input{Idempotent: true, Deadline: now.Add(time.Minute)}
			for retried := true; retried; {
				attempts[a]++
				totalAttempts++
				o := retry.Outcome(retry.Refused{})
				if r.IntN(2) == 0 {
					o = retry.Broken{}
				}
				i = i.WithOutcome(o, r.IntN(3))
				_, gaveUp := p.Next(name, i, now, r).(retry.GiveUp)
				retried = !gaveUp
			}
			if totalAttempts*10 > totalRequests*11+100 || attempts[a]*10 > requests[a]*11+100 {
				t.Fatalf("%d attempts for %d requests, account: %d for %d", totalAttempts, totalRequests, attempts[a], requests[a])
			}
		}
		// A budget that allows no retry would also stay within the bound.
		if totalRequests > 300 && totalAttempts < totalRequests+totalRequests/20 {
			t.Fatalf("only %d attempts for %d requests", totalAttempts, totalRequests)
		}
	})
}

// Guards against a client receiving tokens of another run or another weight
// version, out of order or twice, and against a truncated response that looks
// complete.
func TestStreamDeliversOnlyItsAttempt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := rapid.IntRange(0, 3).Draw(t, "start")
		s := retry.Stream{Attempt: "mine", Version: "1", Next: start}
		size := start + rapid.IntRange(0, 5).Draw(t, "size")
		var delivered []int
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
			expected := c.Attempt == "mine" && c.Version == "1" && c.Offset == s.Next && !ended
			next, v := s.Accept(c)
			switch v.(type) {
			case retry.Deliver:
				delivered = append(delivered, c.Offset)
				if !expected || c.Done {
					t.Fatalf("delivered %+v at offset %d", c, s.Next)
				}
			case retry.End:
				ended = true
				if !expected || !c.Done {
					t.Fatalf("%+v ended the stream at offset %d", c, s.Next)
				}
			case retry.Reject:
				broken = true
			case retry.Drop:
				if expected {
					t.Fatalf("dropped %+v at offset %d", c, s.Next)
				}
			}
			if s = next; broken {
				break
			}
		}
		for i, o := range delivered {
			if o != start+i {
				t.Fatalf("delivered offsets %v, want consecutive ones from %d", delivered, start)
			}
		}
		if (s.Close() == nil) != ended {
			t.Fatalf("Close returned %v, ended is %v", s.Close(), ended)
		}
	})
}

// Guards against an endless stream that carries only chunks of other attempts.
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
