package watch

import (
	"context"
	"math/rand/v2"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"sesamehill.example/sesamehill/internal/member"
	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/pkg/config"
)

const (
	// maxFetchPeers is the number of hosts that are queried before the platform.
	maxFetchPeers = 3
	// maxObjectCalls bounds the concurrent calls to the object store.
	maxObjectCalls = 8
)

// fetchSections completes the sections of a revision. It reuses the sections in
// force, then queries hosts that have the revision, and then the platform.
func (w *Watch) fetchSections(ctx context.Context, h Head) error {
	s := config.NewSections(h.Root)
	w.mu.Lock()
	if w.staged != nil && w.staged.Root == h.Root {
		s = *w.staged
	}
	w.mu.Unlock()
	hosts := w.hostsWith(h)
	for ctx.Err() == nil {
		missing, err := s.Missing()
		if err != nil {
			return errors.Trace(err)
		}
		missing = w.reuse(s, missing)
		if missing == nil {
			continue
		}
		w.stage(s)
		if len(missing) == 0 {
			return nil
		}
		if w.fetchFromPeer(ctx, &hosts, s, missing) {
			continue
		}
		if err := w.fetchFromPlatform(ctx, s, missing); err != nil {
			return errors.Trace(err)
		}
	}
	return errors.Trace(ctx.Err())
}

// stage publishes a copy of s, which other hosts may fetch from while sections are
// added to s.
func (w *Watch) stage(s config.Sections) {
	published := s.Reachable()
	w.mu.Lock()
	w.staged = &published
	w.mu.Unlock()
}

// reuse copies missing sections from the revision in force to s and returns those
// still missing. It returns nil if it copied any, since sections below them may be
// missing, too.
func (w *Watch) reuse(s config.Sections, missing []config.Hash) []config.Hash {
	current := w.Current()
	if current == nil || len(missing) == 0 {
		return append([]config.Hash{}, missing...)
	}
	remaining, added := []config.Hash{}, false
	for _, h := range missing {
		if data, ok := current.sections.Objects[h]; ok {
			s.Objects[h] = data
			added = true
		} else {
			remaining = append(remaining, h)
		}
	}
	if added {
		return nil
	}
	return remaining
}

// hostsWith returns the addresses of up to maxFetchPeers random live hosts that have
// h in force.
func (w *Watch) hostsWith(h Head) []string {
	members := w.members.Live()
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, m := range members {
		if head := w.peerHeads[m.Name]; head.Revision == h.Revision && head.Root == h.Root {
			out = append(out, m.Address)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), maxFetchPeers)]
}

// fetchFromPeer requests missing sections from the first host. It removes the host
// if the reply holds no valid section, and reports whether to try again.
func (w *Watch) fetchFromPeer(ctx context.Context, hosts *[]string, s config.Sections, missing []config.Hash) bool {
	if len(*hosts) == 0 {
		return false
	}
	requested := missing[:min(len(missing), member.MaxSections)]
	isRequested := make(map[config.Hash]bool, len(requested))
	for _, h := range requested {
		isRequested[h] = true
	}
	added := 0
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	reply, err := w.caller.Section(ctx, (*hosts)[0], &member.SectionRequest{Hashes: requested})
	if err == nil {
		for _, data := range reply.Sections {
			if h := config.HashOf(data); isRequested[h] && s.Add(h, data) == nil {
				added++
				w.updateStats(func(s *Stats) { s.FromPeers++; s.Bytes += uint64(len(data)) })
			}
		}
	}
	if added == 0 {
		*hosts = (*hosts)[1:]
	}
	return added > 0 || len(*hosts) > 0
}

func (w *Watch) fetchFromPlatform(ctx context.Context, s config.Sections, missing []config.Hash) error {
	data := make([][]byte, len(missing))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxObjectCalls)
	for i, h := range missing {
		g.Go(func() (err error) {
			data[i], err = w.objects.Get(ctx, objectName(h))
			return errors.Trace(err)
		})
	}
	if err := g.Wait(); err != nil {
		return errors.Trace(err)
	}
	for i, h := range missing {
		if err := s.Add(h, data[i]); err != nil {
			return errors.Trace(err)
		}
		w.updateStats(func(s *Stats) { s.FromPlatform++; s.Bytes += uint64(len(data[i])) })
	}
	return nil
}

// Load returns the configuration document of any revision in the history.
func (w *Watch) Load(ctx context.Context, h Head) (*config.Document, error) {
	s := config.NewSections(h.Root)
	for {
		missing, err := s.Missing()
		if err != nil {
			return nil, errors.Trace(err)
		}
		if len(missing) == 0 {
			d, err := config.Join(s)
			return d, errors.Trace(err)
		}
		if missing = w.reuse(s, missing); missing == nil {
			continue
		}
		if err := w.fetchFromPlatform(ctx, s, missing); err != nil {
			return nil, errors.Trace(err)
		}
	}
}

// upload stores the sections that the platform lacks. It stores a section only after
// all sections that it lists. A stored section therefore implies that its whole
// subtree is stored, which need not be read.
func (w *Watch) upload(ctx context.Context, s config.Sections) error {
	stored := map[config.Hash]bool{}
	levels := s.Levels()
	for i := len(levels) - 1; i >= 0; i-- {
		if err := w.markStored(ctx, s, levels[i], stored); err != nil {
			return errors.Trace(err)
		}
	}
	for _, level := range levels {
		g, gctx := errgroup.WithContext(ctx)
		g.SetLimit(maxObjectCalls)
		for _, h := range level {
			if !stored[h] {
				g.Go(func() error { return errors.Trace(w.objects.Put(gctx, objectName(h), s.Objects[h])) })
			}
		}
		if err := g.Wait(); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// markStored checks which sections of a level are stored, and marks them and their
// subtrees.
func (w *Watch) markStored(ctx context.Context, s config.Sections, level []config.Hash, stored map[config.Hash]bool) error {
	found := make([]bool, len(level))
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(maxObjectCalls)
	for i, h := range level {
		if stored[h] {
			continue
		}
		g.Go(func() error {
			data, err := w.objects.Get(gctx, objectName(h))
			var missing *table.MissingError
			if errors.As(err, &missing) {
				return nil
			}
			found[i] = err == nil && config.HashOf(data) == h
			return errors.Trace(err)
		})
	}
	if err := g.Wait(); err != nil {
		return errors.Trace(err)
	}
	for i, h := range level {
		if found[i] {
			for _, below := range s.Subtree(h) {
				stored[below] = true
			}
		}
	}
	return nil
}
