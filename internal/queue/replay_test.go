package queue_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rogpeppe/go-internal/txtar"

	"sesamehill.example/sesamehill/internal/queue"
)

// replayed is a queue to which a script sends requests and in which it frees room.
type replayed struct {
	now     time.Duration
	names   map[time.Duration]string // by arrival, which differs
	account map[time.Duration]string
	waiting []queue.Item
	missed  map[time.Duration]bool
	rates   queue.Rates
	shares  queue.Shares
}

// arrive adds a request: NAME TARGET DEADLINE PRIORITY SIZE [ACCOUNT], times in milliseconds
// from its arrival.
func (r *replayed) arrive(line string) {
	var name, account string
	var target, deadline, priority, size int
	n, err := fmt.Sscan(line, &name, &target, &deadline, &priority, &size, &account)
	Expect(n).To(BeNumerically(">=", 5), "%s: %v", line, err)
	r.now++ // tells requests apart
	d := r.now + time.Duration(deadline)*time.Millisecond
	r.names[r.now], r.account[r.now] = name, account
	r.waiting = append(r.waiting, queue.Item{
		Arrived: r.now, LatencyTarget: time.Duration(target) * time.Millisecond, Latest: queue.Latest(r.now, d), Deadline: d, Priority: priority, Size: size,
	})
}

// dispatch places what fits into the free room and refuses what would wait too long. It
// returns both.
func (r *replayed) dispatch(room int) string {
	var out []string
	for i := range r.waiting {
		r.waiting[i].Overuse = r.shares.Overuse(r.account[r.waiting[i].Arrived])
	}
	items := make([]queue.Item, 0, len(r.waiting))
	for _, i := range queue.Order(r.waiting, r.now) {
		items = append(items, r.waiting[i])
	}
	pass := queue.NewPass()
	r.waiting = nil
	for i := range items {
		item := &items[i]
		if tried := pass.Try(*item); tried && item.Size <= room {
			room -= item.Size
			pass.Granted(*item)
			r.shares.Placed(r.account[item.Arrived], item.Size, r.now)
			if r.missed[item.Arrived] {
				r.rates.Granted(*item, r.now)
			}
			out = append(out, "+"+r.names[item.Arrived])
			item.Size = 0
		} else if r.missed[item.Arrived] = true; tried {
			pass.Missed(item)
		}
	}
	var before queue.Waiting
	for _, item := range slices.DeleteFunc(items, func(i queue.Item) bool { return i.Size == 0 }) {
		verdict, refuse := queue.Judge(item, r.rates.Wait(before, item, r.now), r.now, 0.5).(queue.Refuse)
		if refuse {
			out = append(out, fmt.Sprintf("-%s(%d)", r.names[item.Arrived], verdict.RetryAfter.Milliseconds()))
			continue
		}
		r.waiting = append(r.waiting, item)
		before.Add(item)
	}
	r.rates.Observe(before, r.now)
	return strings.Join(out, " ")
}

// Guards against queues in which a large request holds up small ones, small ones overtake a
// large one forever, one account takes all room, and requests wait that cannot be served.
var _ = Describe("a queue", func() {
	archive, err := txtar.ParseFile("testdata/replay.txtar")
	if err != nil {
		panic(err)
	}
	for _, f := range archive.Files {
		It(f.Name, func() {
			r := replayed{names: map[time.Duration]string{}, account: map[time.Duration]string{}, missed: map[time.Duration]bool{}}
			result := ""
			for line := range strings.Lines(string(f.Data)) {
				line = strings.TrimSpace(line)
				command, rest, _ := strings.Cut(line, " ")
				var ms, room, step int
				switch command {
				case "arrive":
					r.arrive(rest)
				case "dispatch":
					_, err := fmt.Sscan(rest, &ms, &room)
					Expect(err).NotTo(HaveOccurred())
					r.now = time.Duration(ms) * time.Millisecond
					result = r.dispatch(room)
				case "every":
					var until int
					_, err := fmt.Sscanf(rest, "%d until %d room %d", &step, &until, &room)
					Expect(err).NotTo(HaveOccurred())
					var all []string
					for now := r.now + time.Duration(step)*time.Millisecond; now <= time.Duration(until)*time.Millisecond; now += time.Duration(step) * time.Millisecond {
						r.now = now
						all = append(all, r.dispatch(room))
					}
					result = strings.Join(strings.Fields(strings.Join(all, " ")), " ")
				case "=>":
					Expect(result).To(Equal(rest), line)
				default:
					Fail("unknown command " + line)
				}
			}
		})
	}
})
