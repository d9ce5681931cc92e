package fakes

import (
	"context"
	"slices"
	"sync"
	"time"

	"sesamehill.example/sesamehill/pkg/config"
	"sesamehill.example/sesamehill/pkg/opapi"
)

// Backend is a fake of the host that the operators' forms call. It holds the
// configuration document in memory.
type Backend struct {
	mu       sync.Mutex
	revision uint64
	document *config.Document
	changes  []opapi.Change
	drained  []opapi.DrainOrder
	hosts    []opapi.Host
	targets  []opapi.Target
	links    []opapi.Link
	// repliesToLose is the number of following commits whose reply is lost.
	repliesToLose int
	down          bool
	// commitError, if not nil, is returned by all commits.
	commitError error
}

// NewBackend returns a backend whose configuration document has revision 1.
func NewBackend(d *config.Document) *Backend {
	return &Backend{
		revision: 1, document: d,
		changes: []opapi.Change{{Revision: 1, Author: "op-first", Time: time.Unix(1700000000, 0), ID: "first-change"}},
	}
}

// SetFleet sets the hosts, targets and links that the backend lists.
func (b *Backend) SetFleet(hosts []opapi.Host, targets []opapi.Target, links []opapi.Link) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts, b.targets, b.links = hosts, targets, links
}

// LoseReplies applies the next n commits but returns UnknownOutcomeError for them.
func (b *Backend) LoseReplies(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.repliesToLose = n
}

// SetDown makes commits fail and reports the platform as unreachable.
func (b *Backend) SetDown(down bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down = down
}

// FailCommits makes all commits return err; nil ends the fault.
func (b *Backend) FailCommits(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.commitError = err
}

// Drained returns the drain orders received so far.
func (b *Backend) Drained() []opapi.DrainOrder {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.drained)
}

// Document returns the newest configuration document and its revision.
func (b *Backend) Document() (uint64, *config.Document) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.revision, b.document
}

// Commit replaces the configuration document if base is its current revision. A
// repeated change ID returns the revision of the first commit.
func (b *Backend) Commit(_ context.Context, base uint64, d *config.Document, id, author string) (uint64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.commitError != nil {
		return 0, b.commitError
	}
	if b.down {
		return 0, &opapi.UnavailableError{Reason: "the platform is down"}
	}
	for _, c := range b.changes {
		if c.ID == id {
			return c.Revision, nil
		}
	}
	if base != b.revision {
		return 0, &opapi.ConflictError{Base: base, Other: b.changes[len(b.changes)-1]}
	}
	b.revision++
	b.document = d
	b.changes = append(b.changes, opapi.Change{Revision: b.revision, Author: author, Time: time.Unix(1700000000, 0), ID: id})
	if b.repliesToLose > 0 {
		b.repliesToLose--
		return 0, &opapi.UnknownOutcomeError{ID: id, Reason: "the reply was lost"}
	}
	return b.revision, nil
}

// History returns the changes, newest first.
func (b *Backend) History(_ context.Context, limit int) ([]opapi.Change, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changes := slices.Clone(b.changes)
	slices.Reverse(changes)
	return changes[:min(limit, len(changes))], nil
}

// Status returns the status of the hosts. A host with revision 0 counts as up to
// date.
func (b *Backend) Status(context.Context) (opapi.Status, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := opapi.Status{
		Host: "host-1", Revision: b.revision, Lowest: b.revision, Highest: b.revision, Live: len(b.hosts), Lagging: []string{},
		Platform: opapi.Platform{Reachable: !b.down, Since: time.Unix(1700000000, 0)},
	}
	for _, h := range b.hosts {
		if h.Revision > 0 && h.Revision < b.revision {
			s.Lowest = min(s.Lowest, h.Revision)
			s.Lagging = append(s.Lagging, h.Name)
		}
	}
	return s, nil
}

// Hosts returns the hosts that SetFleet set.
func (b *Backend) Hosts(context.Context) ([]opapi.Host, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.hosts), nil
}

// Targets returns the targets that SetFleet set.
func (b *Backend) Targets(context.Context) ([]opapi.Target, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.targets), nil
}

// Links returns the links that SetFleet set.
func (b *Backend) Links(context.Context) ([]opapi.Link, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.links), nil
}

// Drain records the order if the host or target is listed.
func (b *Backend) Drain(_ context.Context, kind opapi.DrainKind, name string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := slices.ContainsFunc(b.hosts, func(h opapi.Host) bool { return kind == opapi.HostKind && h.Name == name }) ||
		slices.ContainsFunc(b.targets, func(t opapi.Target) bool { return kind == opapi.TargetKind && t.Name == name })
	if !known {
		return &opapi.MissingError{Kind: string(kind), Name: name}
	}
	b.drained = append(b.drained, opapi.DrainOrder{Kind: kind, Name: name})
	return nil
}

// Rollout reports that every target has loaded the model version of the
// configuration document.
func (b *Backend) Rollout(_ context.Context, model string) (opapi.Rollout, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.document.Models {
		if m.Name != model {
			continue
		}
		r := opapi.Rollout{Model: model, Version: m.Version, Done: true}
		for _, t := range b.targets {
			r.Targets = append(r.Targets, opapi.RolloutTarget{Name: t.Name, Loaded: m.Version, Phase: "ready"})
		}
		r.Ready, r.Total = len(r.Targets), len(r.Targets)
		return r, nil
	}
	return opapi.Rollout{}, &opapi.MissingError{Kind: "model", Name: model}
}

// Vars returns fixed metrics.
func (b *Backend) Vars() opapi.Vars {
	return opapi.Vars{First: opapi.Percentiles{Count: 10, P50: 120, P95: 400, P99: 800}, Recomputed: 0.125, Cross: 1000, Use: 0.5}
}
