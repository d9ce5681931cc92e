package origin

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const service = "llm"

func listed(versions ...string) map[string][]string { return map[string][]string{service: versions} }

// Guards against streams that began before a second version appeared and are then unknown
// at other hosts.
func TestStreamsBeforeSecondVersionAreSent(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Observe(listed("v1"), time.Second)
	g.Expect(r.Begin("early", Origin{service, "v1"}, 2*time.Second)).To(Equal(Receipt{}))
	g.Expect(r.TakeOutgoing(toAll)).To(BeEmpty())
	r.Observe(listed("v1", "v2"), 3*time.Second)
	g.Expect(r.TakeOutgoing(toAll)).To(HaveKeyWithValue("all", []Begun{{Origin{service, "v1"}, []Key{NewKey("early")}}}))
	g.Expect(r.TakeOutgoing(toAll)).To(BeEmpty())
}

// Guards against a version that gets new streams before other hosts know of it, and one
// that never gets any.
func TestVersionSettles(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Observe(listed("v1"), time.Second)
	r.Observe(listed("v1", "v2"), 2*time.Second)
	g.Expect(r.Settled(service, "v1", 2*time.Second)).To(BeTrue())
	g.Expect(r.Settled(service, "v2", 2*time.Second)).To(BeFalse())
	g.Expect(r.Settled(service, "v2", 2*time.Second+SettleTime)).To(BeTrue())
	g.Expect(r.Settled(service, "v3", 2*time.Second+SettleTime)).To(BeFalse(), "a version that was not observed yet")
	g.Expect(r.Settled("other", "v1", 0)).To(BeTrue())
}

// Guards against a version that is forgotten while streams that it began may be resumed,
// and one that is never forgotten.
func TestVanishedVersionCountsForRetention(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Observe(listed("v1", "v2"), time.Second)
	r.Observe(listed("v2"), 2*time.Second)
	_, single := r.Only(service)
	g.Expect(single).To(BeFalse())
	r.Observe(listed("v2"), time.Second+Retention)
	only, single := r.Only(service)
	g.Expect(single).To(BeTrue())
	g.Expect(only).To(Equal("v2"))
}

func toAll(Key) []string { return []string{"all"} }

const (
	simulatedHosts = 5
	simulatedStep  = 50 * time.Millisecond
	// maxListLag and maxMessageLag bound how late a host reads the list of targets and gets
	// the messages of the others. Together they are below SettleTime.
	maxListLag    = time.Second
	maxMessageLag = 600 * time.Millisecond
)

// simulation is a service whose versions change, before hosts that see it late.
type simulation struct {
	hosts []*Registry
	// lists is the list of targets at each step.
	lists   [][]string
	listLag []int
	step    int
	streams []simulatedStream
}

type simulatedStream struct{ id, software string }

func (s *simulation) now() time.Duration { return time.Duration(s.step) * simulatedStep }

// exchange lets each host read its list, and receive those of the others if their messages come.
func (s *simulation) exchange() {
	for i, h := range s.hosts {
		h.Observe(listed(s.lists[max(s.step-s.listLag[i], 0)]...), s.now())
	}
	if s.step%int(maxMessageLag/simulatedStep) != 0 {
		return
	}
	for _, from := range s.hosts {
		for _, to := range s.hosts {
			if from != to {
				to.ObserveRemote(from.Sightings(s.now()), s.now())
			}
		}
	}
}

// begin begins a stream at a host and one of the versions that it lists and may use.
func (s *simulation) begin(t *rapid.T, host int) {
	h, list := s.hosts[host], s.lists[max(s.step-s.listLag[host], 0)]
	var usable []string
	for _, v := range list {
		if h.Settled(service, v, s.now()) {
			usable = append(usable, v)
		}
	}
	if len(usable) == 0 {
		return
	}
	stream := simulatedStream{fmt.Sprint("stream-", len(s.streams)), rapid.SampledFrom(usable).Draw(t, "version")}
	h.Begin(stream.id, Origin{service, stream.software}, s.now())
	s.streams = append(s.streams, stream)
}

// Guards against a host that takes the only version that it has received for that of a stream
// which another version began, however late it learns of versions.
func TestHostGuessesNoVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{listLag: make([]int, simulatedHosts)}
		for i := range simulatedHosts {
			s.hosts = append(s.hosts, New())
			s.listLag[i] = rapid.IntRange(0, int(maxListLag/simulatedStep)).Draw(t, "lag")
		}
		list := []string{"v1"}
		for s.step = 0; s.step < 400; s.step++ {
			if s.step > 40 && rapid.IntRange(0, 30).Draw(t, "change") == 0 {
				list = rapid.SampledFrom([][]string{{"v1"}, {"v1", "v2"}, {"v2"}, {"v2", "v3"}, {"v1", "v2", "v3"}}).Draw(t, "list")
			}
			s.lists = append(s.lists, list)
			s.exchange()
			s.begin(t, rapid.IntRange(0, simulatedHosts-1).Draw(t, "host"))
			if len(s.streams) == 0 {
				continue
			}
			taken := rapid.SampledFrom(s.streams).Draw(t, "stream")
			for i, h := range s.hosts {
				if o, ok := h.Find(NewKey(taken.id)); ok && o.Software != taken.software {
					t.Fatalf("host %d found version %s of a stream that %s began", i, o.Software, taken.software)
				}
				if only, single := h.Only(service); single && only != taken.software {
					t.Fatalf("host %d takes %s for the only version, but %s began %s", i, only, taken.software, taken.id)
				}
			}
		}
	})
}
