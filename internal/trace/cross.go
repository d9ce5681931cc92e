package trace

import (
	"time"

	"sesamehill.example/sesamehill/internal/links"
)

// linkPoll is how soon a host looks again at transfers that its share of the link
// holds back.
const linkPoll = 50 * time.Millisecond

// crossings drives each host's use of its region's link.
type crossings struct {
	links map[*host]*links.Link
	// calls are the requests whose text waits for the link or is on its way.
	calls map[uint64]func()
	// polled tells that the host will look again.
	polled map[*host]bool
}

func (x *crossings) start(w *world) {
	x.links, x.calls, x.polled = map[*host]*links.Link{}, map[uint64]func(){}, map[*host]bool{}
	l := w.doc.Links[0]
	for _, h := range w.hosts {
		x.links[h] = links.New(links.Config{Rate: l.RateMbps * 1e6 / bitsPerByte, Delay: l.Delay.AsDuration()}, w.time())
		x.links[h].SetHosts(len(w.peers(h))+1, w.time())
	}
	w.every(0, reportEvery, w.setup.Warm+w.setup.Measured, func() { x.lend(w) })
}

// lend lets the hosts of a region borrow from each other, as heartbeats do.
func (x *crossings) lend(w *world) {
	for _, h := range w.hosts {
		for _, o := range w.peers(h) {
			if want := x.links[h].RateShortfall(w.time()); want > 0 {
				x.links[h].Borrow(x.links[o].Lend(want, w.time()), w.time())
			}
		}
	}
}

// submit queues a request's text for the other region; do runs when it arrives.
func (x *crossings) submit(c *call, saved int, do func()) {
	w := c.world
	x.calls[c.id] = do
	x.links[c.host].Submit(links.Transfer{
		ID: c.id, Bytes: int64(c.tokens)*tokenText + c.extra, Value: float64(saved),
		Charge: links.Charge{Account: w.doc.Accounts[c.account].Name, Purpose: links.Handover},
	}, w.time())
	x.next(w, c.host)
}

// next starts what the host's share allows.
func (x *crossings) next(w *world, h *host) {
	l := x.links[h]
	for _, t := range l.Next(w.time()) {
		w.at(w.links[h.region].send(w.now, t.Bytes), func() {
			for _, id := range l.Done(t.ID, t.Bytes, w.time()) {
				do := x.calls[id]
				delete(x.calls, id)
				do()
			}
			x.next(w, h)
		})
	}
	if !x.polled[h] && len(x.calls) > 0 {
		x.polled[h] = true
		w.after(linkPoll, func() {
			x.polled[h] = false
			x.next(w, h)
		})
	}
}

// peers returns the other hosts of a host's region.
func (w *world) peers(h *host) []*host {
	var hosts []*host
	for _, o := range w.hosts {
		if o != h && o.region == h.region {
			hosts = append(hosts, o)
		}
	}
	return hosts
}
