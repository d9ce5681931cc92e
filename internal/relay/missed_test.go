package relay

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/feed"
)

// changingTable is a platform with one row that returns changes once.
type changingTable struct{ changes []feed.Row }

func (changingTable) List(context.Context, string) ([]feed.Row, feed.Position, error) {
	return []feed.Row{{Key: "a", Version: 5}}, at(5), nil
}

func (c *changingTable) Changes(_ context.Context, _ string, after feed.Position, _ time.Duration) ([]feed.Row, feed.Position, error) {
	rows := c.changes
	c.changes = nil
	for _, r := range rows {
		after.Version = max(after.Version, r.Version)
	}
	return rows, after, nil
}

// Guards against a row that was added and removed between two reads, however far apart these are,
// and that nothing shows afterwards, as its removal is taken for one of no consequence.
func TestRemovalOfUnknownRowIsRecorded(t *testing.T) {
	const table = "targets"
	for name, c := range map[string]struct {
		changes []feed.Row
		missed  bool
	}{
		"a row that was listed":        {[]feed.Row{{Key: "a", Version: 6, Removed: true}}, false},
		"a row that was never listed":  {[]feed.Row{{Key: "b", Version: 7, Removed: true}}, true},
		"both changes in one response": {[]feed.Row{{Key: "b", Version: 6}, {Key: "b", Version: 7, Removed: true}}, true},
		"no removal":                   {[]feed.Row{{Key: "b", Version: 6}}, false},
		"a removal that was received":  {[]feed.Row{{Key: "a", Version: 5, Removed: true}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			g, ctx, now := NewWithT(t), context.Background(), time.Hour
			clock := WithClock(func() time.Duration { return now })
			hub := New(&changingTable{c.changes}, nil, clock, WithHub(func() bool { return true }))
			query := func(_ context.Context, _ string, q Query) (Reply, error) { return hub.HandleQuery(q), nil }
			follower := New(&changingTable{}, query, clock)
			for _, r := range []*Relay{hub, follower} {
				_, _, err := r.List(ctx, table)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(r.History(table)).To(Equal(History{ListedAt: now}))
			}
			listedAt := now
			now += 7 * time.Second
			_, _, err := hub.Changes(ctx, table, at(5), 0)
			g.Expect(err).NotTo(HaveOccurred())
			follower.RecordVersions("hub", hub.Versions())
			_, _, err = follower.Changes(ctx, table, at(5), 0)
			g.Expect(err).NotTo(HaveOccurred())
			expected := History{ListedAt: listedAt}
			if c.missed {
				expected.MissedAt = now
			}
			g.Expect(hub.History(table)).To(Equal(expected))
			g.Expect(follower.History(table)).To(Equal(expected), "a host that reads the changes from a hub")
		})
	}
}

// Guards against a removal that is missed twice for a row that was added again in between.
func TestRowThatReturnsBetweenReadsIsRecorded(t *testing.T) {
	g, ctx, now := NewWithT(t), context.Background(), time.Hour
	source := &changingTable{[]feed.Row{{Key: "a", Version: 6, Removed: true}}}
	r := New(source, nil, WithClock(func() time.Duration { return now }))
	_, p, err := r.List(ctx, "targets")
	g.Expect(err).NotTo(HaveOccurred())
	_, p, err = r.Changes(ctx, "targets", p, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.History("targets").MissedAt).To(BeZero())
	source.changes = []feed.Row{{Key: "a", Version: 8, Removed: true}}
	now += time.Second
	_, _, err = r.Changes(ctx, "targets", p, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.History("targets").MissedAt).To(Equal(now))
}
