package fakes

import (
	"context"
	"slices"

	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/chain"
)

// Order sets the desired state of the engine's weights and role. It returns at
// once; versions that must be loaded show in the load report when they are.
func (e *Engine) Order(ctx context.Context, o target.Order) (target.OrderResult, error) {
	if err := e.admit(ctx); err != nil {
		return target.OrderResult{}, err
	}
	e.mu.Lock()
	if o.Fence < e.fence && !e.options.ignoreFences {
		err := &target.FenceError{Target: e.name, Sent: o.Fence, Accepted: e.fence}
		e.mu.Unlock()
		return target.OrderResult{}, err
	}
	e.fence = max(e.fence, o.Fence)
	e.apply(o)
	result := target.OrderResult{Fence: e.fence, Models: slices.Clone(e.loaded)}
	e.mu.Unlock()
	return result, e.reply("order")
}

// apply unloads what is not desired and loads what is missing; the caller holds
// the lock.
func (e *Engine) apply(o target.Order) {
	before := e.desired
	e.desired, e.role = slices.Clone(o.Models), o.Role
	var kept []target.Loaded
	for _, l := range e.loaded {
		if i := version(e.desired, l); i >= 0 {
			kept = append(kept, target.Loaded{
				Model: l.Model, Version: l.Version, Adapters: common(l.Adapters, e.desired[i].Adapters),
			})
		}
	}
	e.loaded = kept
	e.dropUnloaded()
	for _, d := range e.desired {
		pending := slices.ContainsFunc(before, func(b target.Loaded) bool { return same(d, b) })
		if !covers(e.loaded, d) && !pending {
			e.loading++
			go e.fetch(e.epoch, d)
		}
	}
	e.changed()
}

// dropUnloaded removes the pieces of versions and adapters that are no longer
// loaded; the caller holds the lock.
func (e *Engine) dropUnloaded() {
	for _, k := range e.cache.Keys() {
		b, _ := e.cache.Peek(k)
		if !e.holds(requestOf(b.Scope)) {
			e.cache.Remove(k)
		}
	}
}

// fetch loads a version and makes it available if it is still desired.
func (e *Engine) fetch(epoch context.Context, d target.Loaded) {
	err := e.options.weights.load(epoch)
	e.mu.Lock()
	defer e.mu.Unlock()
	if epoch.Err() != nil {
		return
	}
	e.loading--
	wanted := slices.ContainsFunc(e.desired, func(o target.Loaded) bool { return same(o, d) })
	if err == nil && wanted {
		// Load reports share the slice, so it is replaced.
		e.loaded = slices.Clone(e.loaded)
		if i := version(e.loaded, d); i >= 0 {
			e.loaded[i] = d
		} else {
			e.loaded = append(e.loaded, d)
		}
	}
	e.changed()
}

// common returns the elements of a that b contains.
func common(a, b []string) []string {
	var out []string
	for _, s := range a {
		if slices.Contains(b, s) {
			out = append(out, s)
		}
	}
	return out
}

// covers reports whether a version is loaded with all its adapters.
func covers(loaded []target.Loaded, d target.Loaded) bool {
	i := version(loaded, d)
	return i >= 0 && len(common(d.Adapters, loaded[i].Adapters)) == len(d.Adapters)
}

// version returns the index of the model version of l, or -1.
func version(list []target.Loaded, l target.Loaded) int {
	return slices.IndexFunc(list, func(o target.Loaded) bool {
		return o.Model == l.Model && o.Version == l.Version
	})
}

func requestOf(s chain.Namespace) target.GenerateRequest {
	return target.GenerateRequest{Model: s.Model, Version: s.Version, Adapter: s.Adapter}
}

func same(a, b target.Loaded) bool {
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}
