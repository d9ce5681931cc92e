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

var modelZones = []string{"a", "b", "c"}

// modelHost is a host and the rows that it has read from the store.
type modelHost struct {
	log    *Log
	readAt feed.Position
	listed bool
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

// read lets a host list the table, or read the changes since its last read. No zone that the
// operator wants evacuated may get requests again because of it.
func (m *model) read(t *rapid.T, h *modelHost) {
	for _, zone := range h.log.Zones(m.now) {
		defer func() {
			if m.operator[zone] && !h.log.Evacuated(zone, m.now) {
				t.Fatalf("zone %s gets requests again", zone)
			}
		}()
	}
	if h.readAt.Era != m.at.Era {
		m.settledAt = max(m.settledAt, m.now+lostRowHold)
	}
	if !h.listed || h.readAt.Era != m.at.Era {
		h.log.ApplyList(slices.Sorted(maps.Keys(m.rows)), m.at, m.now)
	} else {
		var unread []Change
		for _, c := range m.changes {
			if h.readAt.Before(c.At) {
				unread = append(unread, c)
			}
		}
		h.log.ApplyChanges(unread, m.at, m.now)
	}
	h.listed, h.readAt = true, m.at
}

// check compares each host with the store at the position that the host knows, and a host
// that knows the newest position with what the operator wants.
func (m *model) check(t *rapid.T) {
	for i, h := range m.hosts {
		if !h.log.known {
			continue
		}
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
			"read":      func(t *rapid.T) { m.read(t, host(t)) },
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
		t.Run(fmt.Sprint("known from another host ", peer), func(t *testing.T) {
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
				t.Fatal("the zone stays evacuated although nobody wants it")
			}
			rewritten := Change{Zone: "a", Evacuated: true, At: feed.Position{Era: 1, Version: 4}}
			l.ApplyChanges([]Change{rewritten}, rewritten.At, now)
			if !l.Evacuated("a", now+time.Hour) {
				t.Fatal("the row that was written again does not count")
			}
		})
	}
}

// Guards against messages and locks that no configuration asks for.
func TestOffWithoutEvacuation(t *testing.T) {
	l := New()
	l.ApplyList(nil, feed.Position{Version: 5}, 0)
	if l.View(0) != nil || l.Evacuated("a", 0) {
		t.Fatal("a host without evacuated zones sends a view")
	}
}
