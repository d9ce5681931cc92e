package trace

import (
	"time"

	"sesamehill.example/sesamehill/internal/links"
)

// linkPollInterval is the interval at which a host checks transfers that wait for
// its share of the link.
const linkPollInterval = 50 * time.Millisecond

// linkTransfers schedules each host's transfers on its region's link.
type linkTransfers struct {
	links map[*host]*links.Link
	// onArrival has the functions to call when the text of a request has crossed the
	// link, by the ID of the request.
	onArrival map[uint64]func()
	// pollScheduled is set while a host has scheduled its next check.
	pollScheduled map[*host]bool
}

func (x *linkTransfers) start(w *world) {
	x.links, x.onArrival, x.pollScheduled = map[*host]*links.Link{}, map[uint64]func(){}, map[*host]bool{}
	l := w.doc.Links[0]
	for _, h := range w.hosts {
		x.links[h] = links.New(links.Config{Rate: l.RateMbps * 1e6 / bitsPerByte, Delay: l.Delay.AsDuration()}, w.time())
		x.links[h].SetHosts(len(w.peers(h))+1, w.time())
	}
	w.every(0, reportInterval, w.setup.WarmUp+w.setup.Measured, func() { x.borrowShares(w) })
}

// borrowShares lets the hosts of a region borrow link shares from each other, as
// they do with heartbeats.
func (x *linkTransfers) borrowShares(w *world) {
	for _, h := range w.hosts {
		for _, o := range w.peers(h) {
			if want := x.links[h].RateShortfall(w.time()); want > 0 {
				x.links[h].Borrow(x.links[o].Lend(want, w.time()), w.time())
			}
		}
	}
}

// submit queues a request's text for transfer to the other region and calls do when
// it has arrived.
func (x *linkTransfers) submit(c *call, saved int, do func()) {
	w := c.world
	x.onArrival[c.id] = do
	x.links[c.host].Submit(links.Transfer{
		ID: c.id, Bytes: int64(c.tokens)*promptTokenBytes + c.attachedBytes, Value: float64(saved),
		Charge: links.Charge{Account: w.doc.Accounts[c.account].Name, Purpose: links.Handover},
	}, w.time())
	x.startTransfers(w, c.host)
}

// startTransfers starts the transfers that the host's share of the link allows.
func (x *linkTransfers) startTransfers(w *world, h *host) {
	l := x.links[h]
	for _, t := range l.Next(w.time()) {
		w.at(w.links[h.region].send(w.now, t.Bytes), func() {
			for _, id := range l.Done(t.ID, t.Bytes, w.time()) {
				do := x.onArrival[id]
				delete(x.onArrival, id)
				do()
			}
			x.startTransfers(w, h)
		})
	}
	if !x.pollScheduled[h] && len(x.onArrival) > 0 {
		x.pollScheduled[h] = true
		w.after(linkPollInterval, func() {
			x.pollScheduled[h] = false
			x.startTransfers(w, h)
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
