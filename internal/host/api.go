package host

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"sesamehill.example/sesamehill/internal/forms"
	"sesamehill.example/sesamehill/internal/member"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/watch"
	"sesamehill.example/sesamehill/pkg/config"
	"sesamehill.example/sesamehill/pkg/opapi"
)

// commitTimeout bounds a commit. The outcome after a timeout is resolved by its
// change ID.
const commitTimeout = 20 * time.Second

// backend implements the operators' API on a host.
type backend struct {
	host *Host
}

var _ forms.Backend = (*backend)(nil)

// Commit makes d the next revision.
func (b *backend) Commit(
	ctx context.Context, base uint64, d *config.Document, id, author string,
) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	head, err := b.host.watch.Commit(ctx, base, d, id, author)
	if err == nil {
		return head.Revision, nil
	}
	var conflict *watch.ConflictError
	var reused *watch.ReusedError
	var unresolved *watch.UnresolvedError
	switch {
	case errors.As(err, &conflict):
		return 0, &opapi.ConflictError{Base: base, Other: newChange(conflict.Other)}
	case errors.As(err, &reused):
		return 0, &opapi.ConflictError{Base: base, Other: newChange(reused.Other)}
	case errors.As(err, &unresolved):
		return 0, &opapi.UnknownOutcomeError{ID: id, Reason: err.Error()}
	default:
		return 0, &opapi.UnavailableError{Reason: err.Error()}
	}
}

func newChange(h watch.Head) opapi.Change {
	return opapi.Change{Revision: h.Revision, Author: h.Author, Time: h.At(), ID: h.Change}
}

// Document returns the active configuration document.
func (b *backend) Document() (uint64, *config.Document) {
	f := b.host.document.Load()
	return f.revision, f.document
}

// Drain stops new work for a host or target.
func (b *backend) Drain(ctx context.Context, kind opapi.DrainKind, name string) error {
	h := b.host
	switch kind {
	case opapi.HostKind:
		if m, ok := h.livePeer(name); ok {
			h.recordDrain(ctx, drainMark{Kind: drainHost, Name: name, Mark: strconv.FormatUint(m.Incarnation, 10)})
			return nil
		}
	case opapi.TargetKind:
		if m, ok := h.fleet.get(name); ok {
			h.recordDrain(ctx, drainMark{Kind: drainTarget, Name: name, Mark: m.listed.Address})
			return nil
		}
	}
	return &opapi.MissingError{Kind: string(kind), Name: name}
}

// History returns the newest changes first.
func (b *backend) History(ctx context.Context, limit int) ([]opapi.Change, error) {
	heads, err := b.host.watch.History(ctx, limit)
	if err != nil {
		return nil, &opapi.UnavailableError{Reason: err.Error()}
	}
	out := make([]opapi.Change, len(heads))
	for i, h := range heads {
		out[i] = newChange(h)
	}
	return out, nil
}

// Hosts returns the hosts of the deployment that gossip has announced.
func (b *backend) Hosts(context.Context) ([]opapi.Host, error) {
	h := b.host
	var out []opapi.Host
	for _, m := range h.gossip.Members() {
		o := opapi.Host{
			Name: m.Name, Region: m.Region, Zone: m.Zone, Address: m.Address,
			State: hostState(m), Revision: m.Revision,
		}
		if m.Name == h.settings.Name {
			o.Running, o.Waiting = h.admission.load()
		}
		out = append(out, o)
	}
	return out, nil
}

func hostState(m member.Member) opapi.State {
	switch {
	case m.State == member.Dead:
		return opapi.Dead
	case m.State == member.Suspect:
		return opapi.Suspect
	case m.Leaving:
		return opapi.Leaving
	default:
		return opapi.Live
	}
}

// Links returns the links from this host's region.
func (b *backend) Links(context.Context) ([]opapi.Link, error) {
	h := b.host
	var out []opapi.Link
	for _, s := range h.links.states(time.Now()) {
		l := opapi.Link{
			From: h.settings.Region, To: s.Region,
			Rate: s.Configured / bytesPerMbit, Measured: s.Rate / bytesPerMbit, Use: s.Use,
		}
		for _, c := range s.Bytes {
			l.Bytes += uint64(max(0, c.Bytes))
		}
		out = append(out, l)
	}
	return out, nil
}

// Rollout returns the progress of a model's version.
func (b *backend) Rollout(ctx context.Context, model string) (opapi.Rollout, error) {
	h := b.host
	h.refreshReports(ctx)
	f := h.document.Load()
	m := f.models[model]
	if m == nil {
		return opapi.Rollout{}, &opapi.MissingError{Kind: "model", Name: model}
	}
	r := opapi.Rollout{Model: model, Version: m.Version}
	for _, e := range h.fleet.list(table.Engine, func(t *targetView) bool {
		return len(m.Targets) == 0 || slices.Contains(m.Targets, t.listed.Name)
	}) {
		t := opapi.RolloutTarget{Name: e.listed.Name, Phase: "waiting"}
		for _, l := range e.report.Models {
			if l.Model != model {
				continue
			}
			if t.Loaded == "" || l.Version == m.Version {
				t.Loaded = l.Version
			}
		}
		switch {
		case t.Loaded == m.Version:
			t.Phase = "ready"
			r.Ready++
		case e.report.Loading:
			t.Phase = "loading"
		}
		r.Total++
		r.Targets = append(r.Targets, t)
	}
	r.Done = r.Ready == r.Total
	return r, nil
}

// Status returns the state of the deployment in the view of this host.
func (b *backend) Status(context.Context) (opapi.Status, error) {
	h := b.host
	s := opapi.Status{
		Host: h.settings.Name, Revision: h.document.Load().revision, Platform: h.reach.state(), Lagging: []string{},
	}
	live := h.gossip.Live()
	for _, m := range live {
		r := m.Revision
		if m.Name == h.settings.Name {
			r = s.Revision
		}
		if s.Live == 0 || r < s.Lowest {
			s.Lowest = r
		}
		s.Highest = max(s.Highest, r)
		s.Live++
	}
	for _, m := range live {
		if m.Revision < s.Highest && m.Name != h.settings.Name {
			s.Lagging = append(s.Lagging, m.Name)
		}
	}
	return s, nil
}

// Targets returns the listed targets.
func (b *backend) Targets(ctx context.Context) ([]opapi.Target, error) {
	b.host.refreshReports(ctx)
	now := time.Now()
	var out []opapi.Target
	for _, s := range b.host.targetStates() {
		t := opapi.Target{
			Name: s.Name, Kind: string(s.Kind), Region: s.Region, Zone: s.Zone,
			State: opapi.Live, Running: s.Running, Waiting: s.Waiting, Age: -1, Models: []string{},
		}
		switch {
		case s.State == table.Leaving || s.Drained:
			t.State = opapi.Leaving
		case !s.Open:
			t.State = opapi.Suspect
		}
		if !s.Reported.IsZero() {
			t.Age = now.Sub(s.Reported).Milliseconds()
		}
		for _, m := range s.Models {
			t.Models = append(t.Models, m.Model+"@"+m.Version)
		}
		out = append(out, t)
	}
	return out, nil
}

// Vars returns the three measures of this host.
func (b *backend) Vars() opapi.Vars {
	m := b.host.measures.state()
	v := opapi.Vars{First: opapi.Percentiles{Count: m.Count, P50: m.P50, P95: m.P95, P99: m.P99}}
	if m.Returning > 0 {
		v.Recomputed = float64(m.Recomputed) / float64(m.Returning)
	}
	for _, s := range b.host.links.states(time.Now()) {
		v.Use = max(v.Use, s.Use)
		for _, c := range s.Bytes {
			v.Cross += uint64(max(0, c.Bytes))
		}
	}
	return v
}

// platformStatus records whether the last poll of the platform's list succeeded.
type platformStatus struct {
	mu     sync.Mutex
	status opapi.Platform
}

func (r *platformStatus) update(err error, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ok := err == nil
	if r.status.Since.IsZero() || r.status.Reachable != ok {
		r.status.Reachable, r.status.Since = ok, now
	}
	r.status.Reason = ""
	if err != nil {
		r.status.Reason = err.Error()
	}
}

func (r *platformStatus) state() opapi.Platform {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}
