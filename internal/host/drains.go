package host

import (
	"context"
	"strconv"
	"strings"
	"sync"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/member"
	"sesamehill.example/sesamehill/internal/table"
)

const (
	drainPrefix = "drain/"
	// maxDrains bounds the drain rows of one scan.
	maxDrains   = 1000
	drainHost   = "host"
	drainTarget = "target"
)

// drainMark records that an operator drains a host or a target. Mark is the
// incarnation of the host or the address of the target, so that the drain does not
// apply to a replacement with the same name.
type drainMark struct {
	_    struct{} `cbor:",toarray"`
	Kind string
	Name string
	Mark string
}

// drains is the set of drains that a host has received. Entries are never removed.
type drains struct {
	mu    sync.Mutex
	marks map[drainMark]bool
}

// add adds marks and reports whether at least one was new.
func (d *drains) add(marks []drainMark) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.marks == nil {
		d.marks = map[drainMark]bool{}
	}
	added := false
	for _, m := range marks {
		added = added || !d.marks[m]
		d.marks[m] = true
	}
	return added
}

func (d *drains) list() []drainMark {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]drainMark, 0, len(d.marks))
	for m := range d.marks {
		out = append(out, m)
	}
	return out
}

// drainExtension gossips drains, so that hosts apply them before they read the
// platform's rows and while the platform is down.
func (h *Host) drainExtension() member.Extension {
	return member.Extension{
		Name: "d", Budget: drainBudget, Replies: true,
		Build: func(_ member.Member, budget int) []byte {
			var fit, out []byte
			var marks []drainMark
			for _, m := range h.drains.list() {
				marks = append(marks, m)
				var err error
				if out, err = member.Encode(marks); err != nil || len(out) > budget {
					return fit
				}
				fit = out
			}
			return fit
		},
		Take: func(_ member.Member, data []byte) error {
			var marks []drainMark
			if err := member.Decode(data, &marks); err != nil {
				return err
			}
			h.applyDrains(marks)
			return nil
		},
	}
}

// readDrains applies the drains that are recorded at the platform.
func (h *Host) readDrains(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listPeriod)
	defer cancel()
	rows, err := h.platform.Scan(ctx, drainPrefix, "", maxDrains)
	if err != nil {
		counters.Add("drain_errors", 1)
		return
	}
	var marks []drainMark
	for _, r := range rows {
		kind, name, ok := strings.Cut(strings.TrimPrefix(r.Key, drainPrefix), "/")
		if ok {
			marks = append(marks, drainMark{Kind: kind, Name: name, Mark: string(r.Value)})
		}
	}
	h.applyDrains(marks)
}

func (h *Host) applyDrains(marks []drainMark) {
	if !h.drains.add(marks) {
		return
	}
	for _, m := range marks {
		switch {
		case m.Kind == drainTarget:
			h.fleet.drain(m.Name, m.Mark)
		case m.Kind == drainHost && m.Name == h.settings.Name && m.Mark == h.incarnation():
			h.log.Info("operator drains this host")
			h.Drain()
		}
	}
}

func (h *Host) incarnation() string {
	return strconv.FormatUint(h.gossip.Self().Incarnation, 10)
}

// recordDrain applies a drain and writes it to the platform. If the platform is down,
// gossip still spreads the drain, which lasts until the last host that received it
// stops.
func (h *Host) recordDrain(ctx context.Context, m drainMark) {
	h.applyDrains([]drainMark{m})
	key := drainPrefix + m.Kind + "/" + m.Name
	rows, err := h.platform.Read(ctx, key)
	if err == nil && len(rows) == 1 && string(rows[0].Value) != m.Mark {
		err = h.platform.Write(ctx, []table.Op{{Key: key, Version: rows[0].Version, Value: []byte(m.Mark)}})
	}
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		err = nil // another host wrote the same drain
	}
	if err != nil {
		h.log.Warn("drain is not recorded at the platform; only gossip spreads it",
			zap.String("kind", m.Kind), zap.String("name", m.Name), zap.Error(err))
	}
}
