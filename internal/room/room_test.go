package room_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rogpeppe/go-internal/txtar"

	"sesamehill.example/sesamehill/internal/room"
)

func TestRoom(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "room")
}

// script is the state of a scripted case.
type script struct {
	names   []string
	engines []room.Engine
	limit   room.Load
	demand  room.Demand
}

// run executes a line and returns its result, if it has one.
func (s *script) run(line string) string {
	var name string
	var l room.Load
	var priority, target, perSecond, hosts, from, until, at int
	kind := func() room.Kind {
		return room.Kind{Priority: priority, Target: time.Duration(target) * time.Millisecond}
	}
	command, rest, _ := strings.Cut(line, " ")
	scan := func(args ...any) {
		GinkgoHelper()
		_, err := fmt.Sscan(rest, args...)
		Expect(err).NotTo(HaveOccurred(), line)
	}
	switch command {
	case "limit":
		scan(&s.limit.Calls, &s.limit.Tokens)
	case "engine":
		scan(&name, &l.Calls, &l.Tokens)
		s.names, s.engines = append(s.names, name), append(s.engines, room.Engine{Held: l, Limit: s.limit})
	case "demand":
		scan(&priority, &target, &l.Tokens, &perSecond, &from, &until)
		l.Calls = 1
		for ms := from; ms < until; ms += 1000 / perSecond {
			s.demand.Arrived(kind(), l, time.Duration(ms)*time.Millisecond)
		}
	case "admit":
		scan(&priority, &target, &l.Tokens, &hosts, &at)
		l.Calls = 1
		return s.named(room.Admit(s.engines, l, s.demand.Reserve(kind(), hosts, len(s.engines), time.Duration(at)*time.Millisecond)))
	case "prefer":
		scan(&l.Tokens, &hosts, &at)
		l.Calls = 1
		return s.named(room.Admit(s.engines, l, s.demand.Unseen(hosts, len(s.engines), time.Duration(at)*time.Millisecond)))
	default:
		Fail("unknown command " + line)
	}
	return ""
}

func (s *script) named(ok []bool) string {
	out := []string{}
	for i, k := range ok {
		if k {
			out = append(out, s.names[i])
		}
	}
	return strings.Join(out, " ")
}

// Guards against patient requests that fill the room which urgent ones are about to need,
// against room that stays unused when these do not come, and against engines that get more
// than their memory holds while others have room.
var _ = Describe("room", func() {
	archive, err := txtar.ParseFile("testdata/room.txtar")
	if err != nil {
		panic(err)
	}
	for _, f := range archive.Files {
		It(f.Name, func() {
			var s script
			result := ""
			for line := range strings.Lines(string(f.Data)) {
				line = strings.TrimSpace(line)
				if want, ok := strings.CutPrefix(line, "=>"); ok {
					Expect(result).To(Equal(strings.TrimSpace(want)))
					continue
				}
				result = s.run(line)
			}
		})
	}
})
