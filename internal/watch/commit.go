package watch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/juju/errors"

	"sesamehill.example/sesamehill/internal/member"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/pkg/config"
)

const (
	// resolveInterval is the initial interval between attempts to resolve an unknown
	// outcome of a commit.
	resolveInterval = 50 * time.Millisecond
	// resolveTimeout is the time after which Commit returns an UnresolvedError.
	resolveTimeout = 15 * time.Second
)

// Commit commits a configuration document as the revision after base. The change ID
// makes Commit idempotent: a retry with the same ID and document returns the head of
// the first commit. The error is a *config.FaultsError, a *config.SizeError, a
// *ConflictError, a *ReusedError, a *NotReadyError, an *UnresolvedError, or an error
// of the platform, which then certainly committed nothing.
func (w *Watch) Commit(ctx context.Context, base uint64, d *config.Document, id, author string) (Head, error) {
	if faults := d.Check(); len(faults) > 0 {
		return Head{}, &config.FaultsError{File: "document", Faults: faults}
	}
	for what, s := range map[string]string{"change ID": id, "author": author} {
		if s == "" || len(s) > maxTextBytes {
			return Head{}, &config.FaultsError{File: "change", Faults: []config.Fault{{
				Key: what, Problem: fmt.Sprintf("has %d bytes", len(s)), Remedy: fmt.Sprintf("give 1 to %d", maxTextBytes),
			}}}
		}
	}
	sections, err := config.Split(d)
	if err != nil {
		return Head{}, errors.Trace(err)
	}
	if err := w.catchUp(ctx); err != nil {
		return Head{}, errors.Trace(err)
	}
	c := &commit{w: w, base: base, sections: sections, head: Head{
		Revision: base + 1, Root: sections.Root, Change: id, Author: author, Milliseconds: w.now().UnixMilli(),
	}}
	head, err := c.run(ctx)
	if err != nil {
		return Head{}, errors.Trace(err)
	}
	document, err := config.Join(sections)
	if err != nil {
		return Head{}, errors.Trace(err)
	}
	w.stepMu.Lock()
	defer w.stepMu.Unlock()
	w.enforce(&Revision{Head: head, Document: document, sections: sections})
	return head, nil
}

// catchUp puts the newest revision in force of which this host has received a head,
// so that a commit after a restore of the platform is not based on the older head.
func (w *Watch) catchUp(ctx context.Context) error {
	w.Poll(ctx)
	w.Step(ctx)
	if w.Ready() {
		return nil
	}
	v := w.view()
	if _, waiting := firstAction(Decide(v)).(Wait); waiting || v.Platform != nil && v.Platform.Revision > 0 {
		return &NotReadyError{}
	}
	return nil
}

// History returns the newest heads, up to limit, newest first.
func (w *Watch) History(ctx context.Context, limit int) ([]Head, error) {
	newest, err := w.readHead(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	after := historyPrefix
	if newest.Revision > uint64(limit) {
		after = historyKey(newest.Revision - uint64(limit))
	}
	rows, err := w.rows.Scan(ctx, historyPrefix, after, limit)
	if err != nil {
		return nil, errors.Trace(err)
	}
	heads := make([]Head, 0, len(rows))
	for i := len(rows) - 1; i >= 0; i-- {
		h, err := decodeHead(rows[i].Value, rows[i].Version)
		if err != nil {
			return nil, errors.Trace(err)
		}
		heads = append(heads, h)
	}
	return heads, nil
}

// commit is a change that is being committed.
type commit struct {
	w        *Watch
	base     uint64
	sections config.Sections
	head     Head
}

// commitRows holds the rows of one commit, as read from the platform.
type commitRows struct {
	head, change, history table.Row
	current, headOfChange Head
}

func (w *Watch) readRows(ctx context.Context, id string, revision uint64) (commitRows, error) {
	rows, err := w.rows.Read(ctx, headKey, changePrefix+id, historyKey(revision))
	if err != nil {
		return commitRows{}, errors.Trace(err)
	}
	r := commitRows{head: rows[0], change: rows[1], history: rows[2]}
	if r.current, err = decodeHead(r.head.Value, r.head.Version); err != nil {
		return r, errors.Trace(err)
	}
	r.headOfChange, err = decodeHead(r.change.Value, r.change.Version)
	return r, errors.Trace(err)
}

// ops returns conditional writes that make h the head unless a row has changed since
// it was read.
func (r commitRows) ops(h Head) ([]table.Op, error) {
	value, err := member.Encode(h)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return []table.Op{
		{Key: headKey, Version: r.head.Version, Value: value},
		{Key: changePrefix + h.Change, Version: r.change.Version, Value: value},
		{Key: historyKey(h.Revision), Version: r.history.Version, Value: value},
	}, nil
}

func (c *commit) run(ctx context.Context) (Head, error) {
	r, err := c.read(ctx)
	if err != nil {
		return Head{}, errors.Trace(err)
	}
	if r.current.Revision < c.w.head().Revision {
		if err := c.w.repair(ctx, c.w.head()); err != nil {
			return Head{}, errors.Annotate(err, "restore the revision in force to the platform")
		}
		if r, err = c.read(ctx); err != nil {
			return Head{}, errors.Trace(err)
		}
	}
	if done, head, err := c.decided(r); done {
		return head, err
	}
	if err := c.w.upload(ctx, c.sections); err != nil {
		return Head{}, errors.Annotate(err, "store the sections")
	}
	return c.write(ctx, r)
}

func (c *commit) read(ctx context.Context) (commitRows, error) {
	return c.w.readRows(ctx, c.head.Change, c.head.Revision)
}

// decided reports whether the rows already determine the outcome: the change was
// committed, or cannot be committed.
func (c *commit) decided(r commitRows) (bool, Head, error) {
	switch {
	case r.change.Version > 0 && r.headOfChange.Root == c.head.Root && r.headOfChange.Revision == c.head.Revision:
		return true, r.headOfChange, nil
	case r.change.Version > 0:
		return true, Head{}, &ReusedError{Other: r.headOfChange}
	case r.current.Revision != c.base:
		return true, Head{}, &ConflictError{Base: c.base, Other: r.current}
	}
	return false, Head{}, nil
}

// write writes the rows of the commit. It resolves an unknown outcome by the change
// ID, and repeats the write only if no row has changed, so that the write takes
// effect at most once.
func (c *commit) write(ctx context.Context, r commitRows) (Head, error) {
	uncertain := false
	intervals := backoff.NewExponentialBackOff()
	intervals.InitialInterval, intervals.MaxInterval = resolveInterval, time.Second
	head, err := backoff.Retry(ctx, func() (Head, error) {
		if uncertain {
			var err error
			if r, err = c.read(ctx); err != nil {
				return Head{}, errors.Trace(err)
			}
			if done, head, err := c.decided(r); done {
				return head, permanent(err)
			}
		}
		ops, err := r.ops(c.head)
		if err != nil {
			return Head{}, permanent(err)
		}
		err = c.w.rows.Write(ctx, ops)
		var conflict *table.ConflictError
		var down *table.DownError
		switch {
		case err == nil:
			return c.head, nil
		case errors.As(err, &conflict):
			// Another change or an earlier attempt of this one was committed first.
			uncertain = true
		case errors.As(err, &down) && !uncertain:
			return Head{}, permanent(err)
		default:
			uncertain = true
		}
		return Head{}, errors.Trace(err)
	}, backoff.WithBackOff(intervals), backoff.WithMaxElapsedTime(resolveTimeout))
	if err != nil && uncertain && !isFinal(err) {
		return Head{}, &UnresolvedError{Change: c.head.Change, Reason: err.Error()}
	}
	return head, errors.Trace(err)
}

// isFinal reports whether err means that the change was certainly not committed.
func isFinal(err error) bool {
	var conflict *ConflictError
	var reused *ReusedError
	return errors.As(err, &conflict) || errors.As(err, &reused)
}

func permanent(err error) error {
	if err == nil {
		return nil
	}
	return backoff.Permanent(err)
}

// tryRepair repairs the platform after a random delay of up to repairSpread, so that
// not all hosts do it.
func (w *Watch) tryRepair(ctx context.Context, a Repair) {
	now := w.now()
	w.mu.Lock()
	if w.repairAt.IsZero() {
		w.repairAt = now.Add(rand.N(repairSpread))
	}
	due := !now.Before(w.repairAt)
	w.mu.Unlock()
	if !due {
		return
	}
	_ = w.repair(ctx, a.Head)
	w.mu.Lock()
	w.repairAt = time.Time{}
	w.platform = nil // read it again before the next decision
	w.mu.Unlock()
}

// repair writes a head and its sections back to a platform that shows a lower one.
func (w *Watch) repair(ctx context.Context, h Head) error {
	current := w.Current()
	if current == nil || current.Head != h {
		return errors.Errorf("revision %d is no longer in force", h.Revision)
	}
	r, err := w.readRows(ctx, h.Change, h.Revision)
	if err != nil || r.current.Revision >= h.Revision {
		return errors.Trace(err)
	}
	if err := w.upload(ctx, current.sections); err != nil {
		return errors.Trace(err)
	}
	ops, err := r.ops(h)
	if err != nil {
		return errors.Trace(err)
	}
	if err := w.rows.Write(ctx, ops); err != nil {
		return errors.Trace(err)
	}
	w.updateStats(func(s *Stats) { s.Repairs++ })
	return nil
}

func firstAction(actions []Action) Action {
	if len(actions) == 0 {
		return nil
	}
	return actions[0]
}
