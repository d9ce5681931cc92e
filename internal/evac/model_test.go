package evac

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sesamehill.example/sesamehill/internal/feed"
)

// modelHosts is the number of hosts of a sequence, which exchange views.
const modelHosts = 3

var modelZones = []string{"a", "b"}

// modelHost is a host and the rows that it has read from the store.
type modelHost struct {
	log    *Log
	readAt feed.Position
	listed bool
	// knewAt is the newest position that the log has had.
	knewAt feed.Position
}

// model is a store whose content may go back, the hosts that read it, and the zones that the
// operator has evacuated, which the store may have lost.
type model struct {
	now     time.Duration
	at      feed.Position
	rows    map[string]bool
	history map[feed.Position]map[string]bool
	// copies are the positions of the current era to which the store can return.
	copies   []feed.Position
	changes  []Change
	operator map[string]bool
	// settledAt is the time at which hosts need no longer count zones of earlier eras.
	settledAt time.Duration
	hosts     [modelHosts]*modelHost
	messages  []View
}

func newModel() *model {
	m := &model{at: feed.Position{Version: 1}, rows: map[string]bool{}, history: map[feed.Position]map[string]bool{}, operator: map[string]bool{}}
	for i := range m.hosts {
		m.hosts[i] = &modelHost{log: New()}
	}
	m.record()
	return m
}

func (m *model) record() {
	m.history[m.at] = maps.Clone(m.rows)
	m.copies = append(m.copies, m.at)
}

// write is the operator's change of a zone. A row that does not exist is not removed.
func (m *model) write(zone string, evacuated bool) {
	m.operator[zone] = evacuated
	if !evacuated && !m.rows[zone] {
		return
	}
	m.at.Version++
	delete(m.rows, zone)
	if evacuated {
		m.rows[zone] = true
	}
	m.changes = append(m.changes, Change{Zone: zone, Evacuated: evacuated, At: m.at})
	m.record()
}

// restore lets the store return from an older copy, in a new era.
func (m *model) restore(copied feed.Position) {
	m.rows = maps.Clone(m.history[copied])
	m.at = feed.Position{Era: m.at.Era + 1, Version: copied.Version}
	m.copies, m.changes = nil, nil
	m.record()
}

// read lets a host read the table as it was at a position, as a hub may lag: it lists the
// table, or reads the changes since its last read. No zone that the operator wants evacuated
// may get requests again because of a read of the newest position.
func (m *model) read(t *rapid.T, h *modelHost, at feed.Position, list bool) {
	if at.Before(h.readAt) {
		return
	}
	before := h.log.Zones(m.now)
	if h.readAt.Era != at.Era {
		m.settledAt = max(m.settledAt, m.now+lostRowHold)
	}
	if list || !h.listed || h.readAt.Era != at.Era {
		h.log.ApplyList(slices.Sorted(maps.Keys(m.history[at])), at, m.now)
	} else {
		h.log.ApplyChanges(m.changesBetween(h.readAt, at), at, m.now)
	}
	h.listed, h.readAt = true, at
	for _, zone := range before {
		if at == m.at && m.operator[zone] && !h.log.Evacuated(zone, m.now) {
			t.Fatalf("zone %s gets requests again", zone)
		}
	}
}

func (m *model) changesBetween(after, to feed.Position) []Change {
	var changes []Change
	for _, c := range m.changes {
		if after.Before(c.At) && !to.Before(c.At) {
			changes = append(changes, c)
		}
	}
	return changes
}

// check compares each host with the store at the position of its view, and a host
// whose view has the newest position with what the operator wants.
func (m *model) check(t *rapid.T) {
	for i, h := range m.hosts {
		if !h.log.loaded {
			continue
		}
		if h.log.asOf.Before(h.knewAt) {
			t.Fatalf("host %d went back from %s to %s", i, h.knewAt, h.log.asOf)
		}
		h.knewAt = h.log.asOf
		if want := m.history[h.log.asOf]; !maps.Equal(h.log.zones, want) {
			t.Fatalf("host %d at %s has %v, the store had %v", i, h.log.asOf, h.log.zones, want)
		}
		for _, zone := range modelZones {
			evacuated := h.log.Evacuated(zone, m.now)
			if m.history[h.log.asOf][zone] && !evacuated {
				t.Fatalf("host %d sends to zone %s", i, zone)
			}
			if h.log.asOf == m.at && m.now >= m.settledAt && evacuated != m.rows[zone] {
				t.Fatalf("host %d: zone %s evacuated %v, the row exists %v", i, zone, evacuated, m.rows[zone])
			}
		}
	}
}

// Guards against an older row, list or message that undoes a newer one, against a lost
// evacuation after the store has returned from a copy, and against a zone that stays evacuated
// for good.
func TestSequencesAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		host := func(t *rapid.T) *modelHost { return m.hosts[rapid.IntRange(0, modelHosts-1).Draw(t, "host")] }
		zone := func(t *rapid.T) string { return rapid.SampledFrom(modelZones).Draw(t, "zone") }
		t.Repeat(map[string]func(*rapid.T){
			"evacuate":  func(t *rapid.T) { m.write(zone(t), true) },
			"take back": func(t *rapid.T) { m.write(zone(t), false) },
			"read":      func(t *rapid.T) { m.read(t, host(t), m.at, rapid.Bool().Draw(t, "list")) },
			"read from a hub": func(t *rapid.T) {
				m.read(t, host(t), rapid.SampledFrom(m.copies).Draw(t, "position"), rapid.Bool().Draw(t, "list"))
			},
			"send": func(t *rapid.T) {
				if v := host(t).log.View(m.now); v != nil {
					m.messages = append(m.messages, *v)
				}
			},
			"receive": func(t *rapid.T) {
				if len(m.messages) == 0 {
					t.Skip()
				}
				v := rapid.SampledFrom(m.messages).Draw(t, "message")
				host(t).log.Merge(v, m.now)
				m.settledAt = max(m.settledAt, m.now+lostRowHold)
			},
			"restart": func(t *rapid.T) { *host(t) = modelHost{log: New()} },
			"restore": func(t *rapid.T) {
				m.restore(rapid.SampledFrom(m.copies).Draw(t, "copy"))
			},
			"wait": func(t *rapid.T) { m.now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond },
			"":     func(t *rapid.T) { m.check(t) },
		})
	})
}

// Guards against requests to an evacuated zone whose row the store has lost, until the
// operator has written it again, and against one that no row takes back any more.
func TestRowLostInRestore(t *testing.T) {
	for _, peer := range []bool{false, true} {
		t.Run(fmt.Sprint("received from another host ", peer), func(t *testing.T) {
			l, now := New(), time.Minute
			if peer {
				l.ApplyList(nil, feed.Position{Era: 1, Version: 3}, now)
				l.Merge(View{Version: 9, Zones: []string{"a"}}, now)
			} else {
				l.ApplyList([]string{"a"}, feed.Position{Version: 9}, now)
				l.ApplyList(nil, feed.Position{Era: 1, Version: 3}, now)
			}
			if !l.Evacuated("a", now+lostRowHold-1) {
				t.Fatal("the zone gets requests before the operator can have written again")
			}
			l.Merge(View{Version: 9, Zones: []string{"a"}}, now+lostRowHold/2)
			if l.Evacuated("a", now+lostRowHold) {
				t.Fatal("the zone stays evacuated although the operator took it back")
			}
			rewritten := Change{Zone: "a", Evacuated: true, At: feed.Position{Era: 1, Version: 4}}
			l.ApplyChanges([]Change{rewritten}, rewritten.At, now)
			if !l.Evacuated("a", now+time.Hour) {
				t.Fatal("the row that was written again does not count")
			}
		})
	}
}

// Guards against messages and locks that no configuration requires.
func TestOffWithoutEvacuation(t *testing.T) {
	l := New()
	l.ApplyList(nil, feed.Position{Version: 5}, 0)
	if l.View(0) != nil || l.Evacuated("a", 0) {
		t.Fatal("a host without evacuated zones sends a view")
	}
}

// Guards against rows from a hub that lags, or from a host that was cut off, that undo
// what the host has received since. Random sequences rarely reach these.
func TestOlderRowsAfterNewerView(t *testing.T) {
	at := func(version uint64) feed.Position { return feed.Position{Era: 1, Version: version} }
	l := New()
	l.ApplyList(nil, at(1), 0)
	l.Merge(View{Era: 1, Version: 9, Zones: []string{"b"}}, 0)
	l.ApplyChanges([]Change{{Zone: "a", Evacuated: true, At: at(4)}, {Zone: "b", At: at(5)}}, at(5), 0)
	if got := l.Zones(0); !slices.Equal(got, []string{"b"}) {
		t.Fatalf("evacuated zones are %v", got)
	}
	l.ApplyList(nil, at(10), 0)
	l.Merge(View{Version: 20, Zones: []string{"b"}}, 0)
	if got := l.Zones(0); len(got) > 0 {
		t.Fatalf("a view of an older era evacuates %v again", got)
	}
}
