package weight

import (
	"cmp"
	"slices"
	"time"

	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/config"
)

func eligible(m config.Model, t Target) bool {
	return !t.Leaving && (len(m.Targets) == 0 || slices.Contains(m.Targets, t.Name))
}

// loads reports whether the target loads, or was ordered to load and may still
// start.
func (t Target) loads(now time.Time) bool {
	return t.Loading || t.LastOrder.Loads && now.Sub(t.LastOrder.At) < loadTimeout
}

// loadsModel reports whether a running load may concern the model.
func (t Target) loadsModel(model string) bool {
	pending := t.pending()
	return len(pending) == 0 ||
		slices.ContainsFunc(pending, func(l target.Loaded) bool { return l.Model == model })
}

func (t Target) serves(model, version string, now time.Time) bool {
	return t.Fresh && !t.Leaving && !t.loads(now) && find(t.Models, model, version) != nil
}

// pending returns the models of the last order that the target's report does not
// contain yet.
func (t Target) pending() (out []target.Loaded) {
	for _, l := range t.LastOrder.Models {
		have := find(t.Models, l.Model, l.Version)
		if have == nil || slices.ContainsFunc(l.Adapters, func(a string) bool {
			return !slices.Contains(have.Adapters, a)
		}) {
			out = append(out, l)
		}
	}
	return out
}

func find(models []target.Loaded, model, version string) *target.Loaded {
	for i := range models {
		if models[i].Model == model && models[i].Version == version {
			return &models[i]
		}
	}
	return nil
}

// setVersion adds l or replaces the adapters of its version.
func setVersion(models []target.Loaded, l target.Loaded) []target.Loaded {
	if have := find(models, l.Model, l.Version); have != nil {
		have.Adapters = l.Adapters
		return models
	}
	return append(models, l)
}

// normalized returns a copy in sorted order.
func normalized(models []target.Loaded) []target.Loaded {
	out := slices.Clone(models)
	for i := range out {
		out[i].Adapters = slices.Sorted(slices.Values(out[i].Adapters))
	}
	slices.SortFunc(out, func(a, b target.Loaded) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return out
}

func equal(a, b []target.Loaded) bool {
	return slices.EqualFunc(a, b, func(x, y target.Loaded) bool {
		return x.Model == y.Model && x.Version == y.Version && slices.Equal(x.Adapters, y.Adapters)
	})
}
