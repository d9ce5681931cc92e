package fakes

import (
	"context"
	"slices"

	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/chain"
)

// Order sets the desired weights and the role of the engine. It returns without
// waiting; load reports list a version once it is loaded.
func (e *Engine) Order(ctx context.Context, o target.Order) (target.OrderResult, error) {
	if err := e.admit(ctx); err != nil {
		return target.OrderResult{}, err
	}
	e.mu.Lock()
	if o.FencingToken < e.fencingToken && !e.options.ignoreFencingTokens {
		err := &target.FencingTokenError{Target: e.name, Sent: o.FencingToken, Accepted: e.fencingToken}
		e.mu.Unlock()
		return target.OrderResult{}, err
	}
	e.fencingToken = max(e.fencingToken, o.FencingToken)
	e.applyOrder(o)
	result := target.OrderResult{FencingToken: e.fencingToken, Models: slices.Clone(e.loaded)}
	e.mu.Unlock()
	return result, e.reply("order")
}

// applyOrder unloads the versions and adapters that are not desired and starts to
// load the missing ones; the caller holds the lock.
func (e *Engine) applyOrder(o target.Order) {
	previous := e.desired
	e.desired, e.role = slices.Clone(o.Models), o.Role
	var remaining []target.Loaded
	for _, l := range e.loaded {
		if i := versionIndex(e.desired, l); i >= 0 {
			remaining = append(remaining, target.Loaded{
				Model: l.Model, Version: l.Version, Adapters: intersection(l.Adapters, e.desired[i].Adapters),
			})
		}
	}
	e.loaded = remaining
	e.evictUnloaded()
	for _, d := range e.desired {
		pending := slices.ContainsFunc(previous, func(b target.Loaded) bool { return sameVersion(d, b) })
		if !covers(e.loaded, d) && !pending {
			e.loading++
			go e.loadVersion(e.lifetime, d)
		}
	}
	e.recordLoad()
}

// evictUnloaded removes the cached blocks of versions and adapters that are no
// longer loaded; the caller holds the lock.
func (e *Engine) evictUnloaded() {
	for _, k := range e.cache.Keys() {
		b, _ := e.cache.Peek(k)
		if !e.isLoaded(requestInNamespace(b.Namespace)) {
			e.cache.Remove(k)
		}
	}
}

// loadVersion loads a version and makes it available if it is still desired. It
// stops when lifetime is done, which means that the engine was killed or closed.
func (e *Engine) loadVersion(lifetime context.Context, d target.Loaded) {
	err := e.options.weights.load(lifetime)
	e.mu.Lock()
	defer e.mu.Unlock()
	if lifetime.Err() != nil {
		return
	}
	e.loading--
	desired := slices.ContainsFunc(e.desired, func(o target.Loaded) bool { return sameVersion(o, d) })
	if err == nil && desired {
		// Load reports share the slice, so it is copied before the change.
		e.loaded = slices.Clone(e.loaded)
		if i := versionIndex(e.loaded, d); i >= 0 {
			e.loaded[i] = d
		} else {
			e.loaded = append(e.loaded, d)
		}
	}
	e.recordLoad()
}

// intersection returns the elements of a that b contains.
func intersection(a, b []string) []string {
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
	i := versionIndex(loaded, d)
	return i >= 0 && len(intersection(d.Adapters, loaded[i].Adapters)) == len(d.Adapters)
}

// versionIndex returns the index of the entry with the model and version of l, or
// -1.
func versionIndex(list []target.Loaded, l target.Loaded) int {
	return slices.IndexFunc(list, func(o target.Loaded) bool {
		return o.Model == l.Model && o.Version == l.Version
	})
}

// requestInNamespace returns a request with the model, version and adapter of n.
func requestInNamespace(n chain.Namespace) target.GenerateRequest {
	return target.GenerateRequest{Model: n.Model, Version: n.Version, Adapter: n.Adapter}
}

// sameVersion reports whether a and b name the same version and adapters.
func sameVersion(a, b target.Loaded) bool {
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}
