package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "sesamehill.example/sesamehill/internal/seeds"
)

var memberGen = rapid.Custom(func(t *rapid.T) Member {
	return Member{
		Name: rapid.SampledFrom([]string{"a", "b", "c", "self"}).Draw(t, "name"), Address: rapid.SampledFrom([]string{"x:1", "y:1"}).Draw(t, "address"),
		Region: "r", Zone: "z", Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		State: State(rapid.IntRange(0, 2).Draw(t, "state")), Leaving: rapid.Bool().Draw(t, "leaving"),
		Revision: rapid.Uint64Range(0, 3).Draw(t, "revision"),
	}
})

// Guards against merged records that depend on the order of the updates.
func TestMergeIgnoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := memberGen.Draw(t, "a"), memberGen.Draw(t, "b"), memberGen.Draw(t, "c")
		b.Name, c.Name = a.Name, a.Name
		if merge(a, b) != merge(b, a) || merge(a, merge(b, c)) != merge(merge(a, b), c) || merge(a, a) != a {
			t.Fatalf("%v %v %v", a, b, c)
		}
	})
}

// memberModel is the model of one record, computed from the received updates without
// the optimizations of the table.
type memberModel struct {
	incarnation         uint64
	suspected, dead     bool
	leaving             bool
	suspectedAt, diedAt time.Time
}

// Guards against a host that is declared dead without being suspect first, a leaving
// host that becomes usable again in the same incarnation, a lower incarnation that
// overwrites a higher one, and an own record that other hosts can overwrite.
func TestTableAgainstNaiveModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		self := Member{Name: "self", Address: "s:1", Region: "r", Zone: "z", Incarnation: 1}
		table := NewTable(self)
		table.Tick(now)
		model := map[string]*memberModel{}
		highestReceived, left := uint64(1), false
		t.Repeat(map[string]func(*rapid.T){
			"merge": func(t *rapid.T) {
				m := memberGen.Draw(t, "m")
				table.Merge([]Member{m}, now)
				if m.Name == "self" {
					highestReceived = max(highestReceived, m.Incarnation)
					return
				}
				n, known := model[m.Name]
				switch {
				case !known && m.State == Dead:
				case !known:
					model[m.Name] = &memberModel{incarnation: m.Incarnation, suspected: m.State == Suspect, leaving: m.Leaving, suspectedAt: now}
				case m.Incarnation < n.incarnation:
				default:
					alive := !n.suspected && !n.dead
					if m.Incarnation > n.incarnation {
						*n = memberModel{incarnation: m.Incarnation, suspectedAt: now, diedAt: now}
						n.suspected = m.State == Suspect || m.State == Dead && alive
						n.dead = m.State == Dead && !alive
						n.leaving = m.Leaving
						return
					}
					n.leaving = n.leaving || m.Leaving
					switch {
					case n.dead:
					case m.State == Dead && !alive:
						n.dead, n.suspected, n.diedAt = true, false, now
					case m.State != Alive && alive:
						n.suspected, n.suspectedAt = true, now
					}
				}
			},
			"fail": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"a", "b", "c", "self"}).Draw(t, "name")
				table.Failed(name, now)
				if n := model[name]; n != nil && !n.suspected && !n.dead {
					n.suspected, n.suspectedAt = true, now
				}
			},
			"tick": func(t *rapid.T) {
				step := time.Duration(rapid.IntRange(100, 6000).Draw(t, "ms")) * time.Millisecond
				now = now.Add(step)
				if step > pauseThreshold {
					for _, n := range model {
						n.suspectedAt, n.diedAt = n.suspectedAt.Add(step), n.diedAt.Add(step)
					}
				}
				for _, n := range model {
					if n.suspected && now.Sub(n.suspectedAt) >= SuspectTimeout {
						n.suspected, n.dead, n.diedAt = false, true, now
					}
				}
				table.Tick(now)
			},
			"leave": func(*rapid.T) { table.Leave(); left = true },
			"": func(t *rapid.T) {
				own := table.Self()
				if own.State != Alive || own.Leaving != left || own.Incarnation < highestReceived || own.Address != "s:1" {
					t.Fatalf("own record is %v; received incarnation %d from others", own, highestReceived)
				}
				if len(table.Members()) != len(model)+1 {
					t.Fatalf("%v against %v", table.Members(), model)
				}
				for name, n := range model {
					want := Alive
					if n.suspected {
						want = Suspect
					} else if n.dead {
						want = Dead
					}
					m, _ := table.Member(name)
					if m.State != want || m.Incarnation != n.incarnation || m.Leaving != n.leaving {
						t.Fatalf("%v; the model has %v %+v", m, want, *n)
					}
				}
			},
		})
	})
}

// Guards against tables that stay different after lost messages, restarts and
// partitions.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 5
		now := time.Unix(1000, 0)
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var tables []*Table
		start := func(i int, incarnation uint64) *Table {
			h := fmt.Sprintf("h%d", i)
			return NewTable(Member{Name: h, Address: h + ":1", Region: "r", Zone: "z", Incarnation: incarnation})
		}
		for i := range hosts {
			tables = append(tables, start(i, 10))
		}
		// exchange delivers a heartbeat, and its reply unless lost is set.
		exchange := func(a, b int, lost bool) {
			deliver := func(from, to *Table, receiver Member) {
				to.Merge(append([]Member{from.Self()}, from.Updates(receiver, 1000)...), now)
			}
			before, _ := tables[a].Member(tables[b].self)
			deliver(tables[a], tables[b], before)
			if !lost {
				deliver(tables[b], tables[a], tables[a].Self())
			}
		}
		for a := range hosts {
			exchange(a, (a+1)%hosts, false)
		}
		side := make([]bool, hosts)
		host := rapid.IntRange(0, hosts-1)
		t.Repeat(map[string]func(*rapid.T){
			"exchange": func(t *rapid.T) {
				a, b := host.Draw(t, "a"), host.Draw(t, "b")
				if a != b && side[a] == side[b] {
					exchange(a, b, rapid.Bool().Draw(t, "lost"))
				} else if a != b {
					tables[a].Failed(tables[b].self, now)
				}
			},
			"split": func(t *rapid.T) { side[host.Draw(t, "host")] = true },
			"heal":  func(*rapid.T) { side = make([]bool, hosts) },
			"restart": func(t *rapid.T) {
				i := host.Draw(t, "i")
				tables[i] = start(i, rapid.Uint64Range(9, 12).Draw(t, "inc"))
			},
			"leave": func(t *rapid.T) { tables[host.Draw(t, "i")].Leave() },
			"tick": func(t *rapid.T) {
				now = now.Add(time.Second)
				for _, x := range tables {
					x.Tick(now)
				}
			},
		})
		for range 40 {
			now = now.Add(time.Second)
			for _, a := range r.Perm(hosts) {
				tables[a].Tick(now)
				exchange(a, (a+1+r.IntN(hosts-1))%hosts, false)
			}
		}
		for _, x := range tables {
			for _, m := range x.Members() {
				owner := tables[m.Name[1]-'0'].Self()
				if m.State != Alive || m.Incarnation != owner.Incarnation || m.Leaving != owner.Leaving {
					t.Fatalf("%s has the record %v, its owner %v", x.self, m, owner)
				}
			}
			if len(x.Members()) != hosts {
				t.Fatalf("%s knows %d members", x.self, len(x.Members()))
			}
		}
	})
}
