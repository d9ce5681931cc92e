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

// Guards against records that depend on the order in which updates arrive.
func TestMergeIsOrderFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := memberGen.Draw(t, "a"), memberGen.Draw(t, "b"), memberGen.Draw(t, "c")
		b.Name, c.Name = a.Name, a.Name
		if merge(a, b) != merge(b, a) || merge(a, merge(b, c)) != merge(merge(a, b), c) || merge(a, a) != a {
			t.Fatalf("%v %v %v", a, b, c)
		}
	})
}

// naiveMember is the model of one record: what was heard, without the table's
// shortcuts.
type naiveMember struct {
	incarnation        uint64
	suspected, dead    bool
	leaving            bool
	suspectAt, decease time.Time
}

// Guards against a death without suspicion, a host that leaves and takes work
// again in the same incarnation, a lower incarnation that wins, and an own
// record that others can overrule.
func TestTableAgainstNaiveModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		self := Member{Name: "self", Address: "s:1", Region: "r", Zone: "z", Incarnation: 1}
		table := NewTable(self)
		table.Tick(now)
		model := map[string]*naiveMember{}
		highestSelf, left := uint64(1), false
		t.Repeat(map[string]func(*rapid.T){
			"merge": func(t *rapid.T) {
				m := memberGen.Draw(t, "m")
				table.Merge([]Member{m}, now)
				if m.Name == "self" {
					highestSelf = max(highestSelf, m.Incarnation)
					return
				}
				n, known := model[m.Name]
				switch {
				case !known && m.State == Dead:
				case !known:
					model[m.Name] = &naiveMember{incarnation: m.Incarnation, suspected: m.State == Suspect, leaving: m.Leaving, suspectAt: now}
				case m.Incarnation < n.incarnation:
				default:
					alive := !n.suspected && !n.dead
					if m.Incarnation > n.incarnation {
						*n = naiveMember{incarnation: m.Incarnation, suspectAt: now, decease: now}
						n.suspected = m.State == Suspect || m.State == Dead && alive
						n.dead = m.State == Dead && !alive
						n.leaving = m.Leaving
						return
					}
					n.leaving = n.leaving || m.Leaving
					switch {
					case n.dead:
					case m.State == Dead && !alive:
						n.dead, n.suspected, n.decease = true, false, now
					case m.State != Alive && alive:
						n.suspected, n.suspectAt = true, now
					}
				}
			},
			"fail": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"a", "b", "c", "self"}).Draw(t, "name")
				table.Failed(name, now)
				if n := model[name]; n != nil && !n.suspected && !n.dead {
					n.suspected, n.suspectAt = true, now
				}
			},
			"tick": func(t *rapid.T) {
				step := time.Duration(rapid.IntRange(100, 6000).Draw(t, "ms")) * time.Millisecond
				now = now.Add(step)
				if step > pauseThreshold {
					for _, n := range model {
						n.suspectAt, n.decease = n.suspectAt.Add(step), n.decease.Add(step)
					}
				}
				for _, n := range model {
					if n.suspected && now.Sub(n.suspectAt) >= SuspectTimeout {
						n.suspected, n.dead, n.decease = false, true, now
					}
				}
				table.Tick(now)
			},
			"leave": func(*rapid.T) { table.Leave(); left = true },
			"": func(t *rapid.T) {
				own := table.Self()
				if own.State != Alive || own.Leaving != left || own.Incarnation < highestSelf || own.Address != "s:1" {
					t.Fatalf("own record is %v; others have spoken of incarnation %d", own, highestSelf)
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

// Guards against tables that never agree after lost messages, restarts and
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
		// exchange passes a heartbeat, and its reply unless that is lost.
		exchange := func(a, b int, lost bool) {
			pass := func(from, to *Table, as Member) {
				to.Merge(append([]Member{from.Self()}, from.Updates(as, 1000)...), now)
			}
			before, _ := tables[a].Member(tables[b].self)
			pass(tables[a], tables[b], before)
			if !lost {
				pass(tables[b], tables[a], tables[a].Self())
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
					t.Fatalf("%s holds %v, its owner %v", x.self, m, owner)
				}
			}
			if len(x.Members()) != hosts {
				t.Fatalf("%s knows %d members", x.self, len(x.Members()))
			}
		}
	})
}
