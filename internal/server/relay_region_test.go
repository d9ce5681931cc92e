package server

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/homes"
)

// Guards against the body of a request with allowed regions at a host outside these, be it in
// the region of the host that the caller has chosen.
var _ = Describe("tunnels for a request with allowed regions", func() {
	It("lead through hosts in these regions only", func() {
		zones := map[string]string{"oslo-a": "oslo", "bergen-a": "bergen"}
		h := &Host{settings: Settings{Name: "self", Zone: "bergen-a", Region: "bergen", Zones: zones}}
		h.members = &members{host: h, rows: map[string]observedRow{}, readAt: time.Minute}
		for zone := range zones {
			for n := range 4 {
				name := fmt.Sprint(zone, n)
				h.members.rows[name] = observedRow{memberRow: memberRow{Host: name, Zone: zone, Peer: name + ":1"}, firstSeen: time.Minute}
			}
		}
		p := newPathFinder(h)
		Expect(p.candidates("i-1", homes.Regions{})).To(HaveEach(HaveField("Zone", "bergen-a")), "near hosts first")
		oslo := homes.Of([]string{"oslo"})
		Expect(p.candidates("i-1", oslo)).To(HaveEach(HaveField("Zone", "oslo-a")))
		Expect(p.CanRelay(oslo)).To(BeTrue())
		Expect(p.CanRelay(homes.Of([]string{"narvik"}))).To(BeFalse())
	})
})
