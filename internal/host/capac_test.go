package host

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/common/json"

	"sesamehill.example/sesamehill/internal/admit"
	"sesamehill.example/sesamehill/internal/crash"
	"sesamehill.example/sesamehill/internal/index"
	"sesamehill.example/sesamehill/internal/member"
	"sesamehill.example/sesamehill/internal/slope"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/chain"
	"sesamehill.example/sesamehill/pkg/config"
)

// The largest sizes are the design size: 186 engines and 47 hosts in each of 7
// regions, and 10,000 accounts.
var (
	engineSizes  = []int{24, 47, 93, 186}
	accountSizes = []int{1250, 2500, 5000, 10_000}
)

const (
	capacityRegions  = 7
	capacityModels   = 31
	hostsPerRegion   = 47
	enginesPerRegion = 186
)

func capacityDocument(accounts int) *config.Document {
	d := &config.Document{
		Deployment: config.Deployment{Name: "large", BlockTokens: 4000, BlockBytes: 64 << 20},
		Weights:    config.Weights{FirstToken: 1, Recompute: 1, LinkTraffic: 1},
		Limits:     config.Limits{Body: 1 << 22, Prompt: 1 << 17, QueueLength: 10_000, MaxWait: config.Duration(10 * time.Second)},
	}
	for i := range capacityRegions {
		r := config.Region{Name: fmt.Sprintf("region-%d", i)}
		for z := range 3 {
			r.Zones = append(r.Zones, zoneName(i, z))
		}
		d.Regions = append(d.Regions, r)
		if i > 0 {
			d.Links = append(d.Links, config.Link{From: "region-0", To: r.Name, RateMbps: 30, Delay: config.Duration(20 * time.Millisecond)})
		}
	}
	for i := range capacityModels {
		d.Models = append(d.Models, config.Model{Name: fmt.Sprintf("model-%02d", i), Version: "7", MaxConcurrentLoads: 2})
	}
	for i := range accounts {
		name := fmt.Sprintf("account-%05d", i)
		a := config.Account{Name: name, Keys: []string{config.HashKey(name)}, Rate: 1e9, Concurrency: 1e6}
		for j := range 4 {
			a.Models = append(a.Models, d.Models[(i+j)%capacityModels].Name)
		}
		d.Accounts = append(d.Accounts, a)
	}
	return d
}

func zoneName(region, zone int) string { return fmt.Sprintf("region-%d-%c", region, 'a'+zone) }

func capacityListing(engines int) table.Listing {
	var l table.Listing
	for r := range capacityRegions {
		region := fmt.Sprintf("region-%d", r)
		for i := range engines {
			l.Targets = append(l.Targets, table.ListedTarget{
				Name: fmt.Sprintf("engine-%d-%03d", r, i), Kind: table.Engine, Address: fmt.Sprintf("10.%d.0.%d:8000", r, i),
				Region: region, Zone: zoneName(r, i%3), ChecksFencing: true, State: table.Live,
			})
		}
		for i := range engines * hostsPerRegion / enginesPerRegion {
			l.Hosts = append(l.Hosts, table.ListedHost{
				Name: fmt.Sprintf("host-%d-%02d", r, i), Address: fmt.Sprintf("10.%d.1.%d:7000", r, i),
				Region: region, Zone: zoneName(r, i%3), State: table.Live,
			})
		}
	}
	return l
}

// capacityHost returns a host that is not started, one of 47 in its region, with the
// load reports of the given number of engines per region.
func capacityHost(b *testing.B, engines, accounts int) *Host {
	b.Helper()
	h, err := New(config.Settings{
		Name: "host-0-00", Region: "region-0", Zone: zoneName(0, 0), Listen: "127.0.0.1:0",
		Admin: "127.0.0.1:0", Peer: "127.0.0.1:1", Platform: "127.0.0.1:1",
	}, WithDocument(1, capacityDocument(accounts)))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = h.idempotency.Close(context.Background()) })
	var live []member.Member
	for i := range hostsPerRegion {
		live = append(live, member.Member{
			Name: fmt.Sprintf("host-0-%02d", i), Address: fmt.Sprintf("10.0.1.%d:7000", i), Region: "region-0",
			Zone: zoneName(0, i%3), Incarnation: 1,
		})
	}
	h.blockIndex.setHosts(live)
	h.admission.setSize(hostsPerRegion*capacityRegions, 1<<20)
	l := capacityListing(engines)
	h.fleet.apply(l)
	for _, t := range l.Targets {
		h.fleet.updateReport(t.Name, capacityReport(t.Name), time.Now())
	}
	return h
}

func capacityReport(name string) target.LoadReport {
	return target.LoadReport{
		Target: name, ReportedAt: time.Now(), Running: 6, Waiting: 2, Tokens: 9000, PrefillRate: 20_000, DecodeRate: 2000, FreeBlocks: 100,
		Models: []target.Loaded{{Model: "model-01", Version: "7"}},
	}
}

// BenchmarkCapacityObserve measures the observation of targets by the number of
// engines in a region; the list has seven times as many.
func BenchmarkCapacityObserve(b *testing.B) {
	slope.Values(b, "memory", "B", engineSizes, func(n int) float64 {
		l := capacityListing(n)
		return slope.HeapBytes(func() any {
			f := newFleet()
			f.apply(l)
			for _, t := range l.Targets {
				f.updateReport(t.Name, capacityReport(t.Name), time.Now())
			}
			return f
		})
	})
	slope.Values(b, "list", "B", engineSizes, func(n int) float64 {
		data, err := json.Marshal(capacityListing(n))
		if err != nil {
			b.Fatal(err)
		}
		return float64(len(data))
	})
	slope.CPUTime(b, "list", engineSizes, func(n int) func() {
		h := capacityHost(b, n, 10)
		data, err := json.Marshal(capacityListing(n))
		if err != nil {
			b.Fatal(err)
		}
		return func() {
			var l table.Listing
			if err := json.Unmarshal(data, &l); err != nil {
				b.Fatal(err)
			}
			h.fleet.apply(l)
			h.gossip.Seed(l.Hosts)
		}
	})
	slope.CPUTime(b, "select", engineSizes, func(n int) func() {
		h := capacityHost(b, n, 10)
		return func() { h.fleet.list(table.Engine, h.observes) }
	})
	slope.CPUTime(b, "digest", engineSizes, func(n int) func() {
		h := capacityHost(b, n, 10)
		now := time.Now() // keeps the reports fresh
		return func() { h.buildLoadSummary(loadSummaryBudget, now) }
	})
	slope.CPUTime(b, "summary", engineSizes, func(n int) func() {
		h := capacityHost(b, n, 10)
		return func() { h.summary(time.Now()) }
	})
	h := capacityHost(b, enginesPerRegion, 10)
	var d loadSummary
	if err := member.Decode(h.buildLoadSummary(loadSummaryBudget, time.Now()), &d); err != nil {
		b.Fatal(err)
	}
	fmt.Printf("digest: %d engines in %d bytes\n", len(d), len(h.buildLoadSummary(loadSummaryBudget, time.Now())))
}

// BenchmarkCapacityForce measures the activation of a configuration document and the
// demand extension of a heartbeat by the number of accounts.
func BenchmarkCapacityForce(b *testing.B) {
	slope.Values(b, "memory", "B", accountSizes, func(n int) float64 {
		d := capacityDocument(n)
		return slope.HeapBytes(func() any { return newActiveDocument(2, d) })
	})
	slope.CPUTime(b, "force", accountSizes, func(n int) func() {
		h, d, r := capacityHost(b, 10, n), capacityDocument(n), uint64(1)
		return func() {
			r++
			h.activate(r, d)
		}
	})
	slope.CPUTime(b, "demand", accountSizes, func(n int) func() {
		h := capacityHost(b, 10, n)
		for i := range n / 10 {
			t, err := h.admission.waitForStart(context.Background(), capacityAdmission(i))
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(t.finish)
		}
		p := h.demandExtension()
		return func() { p.Build(member.Member{}, p.Budget) }
	})
}

// BenchmarkCapacityPlace measures the processor time of the decisions for one
// request by the number of engines in a region: admission, lookup in this host's
// index shard, and placement of ten blocks. The lookups at other hosts are remote
// calls.
func BenchmarkCapacityPlace(b *testing.B) {
	slope.CPUTime(b, "place", engineSizes, func(n int) func() {
		h := capacityHost(b, n, 1000)
		f := h.document.Load()
		q := &request{
			active: f, account: f.accounts["account-00001"], namespace: chain.Namespace{Account: "account-00001", Model: "model-01", Version: "7"},
			tokens: make([]uint32, 40_000), max: 284, startBy: time.Now().Add(time.Hour), deadline: time.Now().Add(time.Hour),
			fingerprint: crash.Fingerprint{}, random: rand.New(rand.NewPCG(1, 2)), localOnly: true,
		}
		return func() {
			t, err := h.admission.waitForStart(context.Background(), capacityAdmission(1))
			if err != nil {
				b.Fatal(err)
			}
			if _, err := h.place(context.Background(), q); err != nil {
				b.Fatal(err)
			}
			t.finish()
		}
	})
}

// BenchmarkCapacityRecords measures the bytes of a record by the number of events and
// of an inventory by the number of blocks.
func BenchmarkCapacityRecords(b *testing.B) {
	size := func(v any) float64 {
		data, err := member.Encode(v)
		if err != nil {
			b.Fatal(err)
		}
		return float64(len(data))
	}
	r := rand.New(rand.NewPCG(1, 2))
	key := func() (k chain.Key) {
		for i := range k {
			k[i] = byte(r.Uint32())
		}
		return k
	}
	events := []int{1, 4, 16, 64}
	record := func(n int) *member.RecordRequest {
		q := &member.RecordRequest{Record: index.Record{Target: "engine-0-001", After: 1e6, Last: 1e6 + uint64(n)}}
		for i := range n {
			q.Record.Events = append(q.Record.Events, target.Event{Sequence: 1e6 + uint64(i), Kind: target.BlockStored, Key: key(), ShardKey: key()})
		}
		return q
	}
	slope.Values(b, "record", "B", events, func(n int) float64 { return size(record(n)) })
	slope.Values(b, "event poll", "B", events, func(n int) float64 {
		data, err := json.Marshal(target.EventBatch{Events: record(n).Record.Events, LastSequence: 1e6})
		if err != nil {
			b.Fatal(err)
		}
		return float64(len(data))
	})
	slope.CPUTime(b, "record", events, func(n int) func() {
		q := record(n)
		return func() { size(q) }
	})
	pieces := []int{1000, 2000, 4000, 8000}
	slope.Values(b, "inventory", "B", pieces, func(n int) float64 {
		v := &target.Inventory{Sequence: 1e6}
		for range n {
			v.Blocks = append(v.Blocks, target.ResidentBlock{Key: key(), ShardKey: key()})
		}
		return size(member.RecordRequest{Record: index.Record{Target: "store-0-01"}, Inventory: v})
	})
	slope.Values(b, "store list", "B", pieces, func(n int) float64 {
		var l []target.StoredBlock
		for range n {
			l = append(l, target.StoredBlock{
				Key: key(), ShardKey: key(), Account: "account-00001", Generation: 1e6, Length: 64 << 20,
				Checksum: fmt.Sprintf("%064d", 1),
			})
		}
		data, err := json.Marshal(l)
		if err != nil {
			b.Fatal(err)
		}
		return float64(len(data))
	})
}

func capacityAdmission(account int) admit.Request {
	return admit.Request{Account: fmt.Sprintf("account-%05d", account), Tokens: 40_000, Deadline: time.Now().Add(time.Hour)}
}
