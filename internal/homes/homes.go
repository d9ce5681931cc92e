package homes

import (
	"context"
	"net/url"
	"slices"
	"strings"
)

// keySeparator separates the escaped names in a key.
const keySeparator = "+"

// Regions are the regions in which a request may be served, cached and stored. The zero
// value allows all.
type Regions struct {
	// Restricted is set if only the regions in Names are allowed.
	Restricted bool
	// Names are in ascending order and without repetitions.
	Names []string
}

// Of returns the regions that every one of the given lists allows. An empty list allows all
// regions.
func Of(lists ...[]string) Regions {
	r := Regions{}
	for _, list := range lists {
		r = r.restrict(list)
	}
	return r
}

// restrict returns the regions that a list allows as well.
func (r Regions) restrict(list []string) Regions {
	if len(list) == 0 {
		return r
	}
	names := slices.Clone(list)
	slices.Sort(names)
	names = slices.Compact(names)
	names = slices.DeleteFunc(names, func(name string) bool { return name == "" })
	if r.Restricted {
		names = slices.DeleteFunc(names, func(name string) bool { return !r.Allows(name) })
	}
	return Regions{Restricted: true, Names: names}
}

// Allows reports whether a region is allowed. A region without a name is that of an unknown
// zone, which only unrestricted requests may use.
func (r Regions) Allows(region string) bool {
	return !r.Restricted || region != "" && slices.Contains(r.Names, region)
}

// Excluded reports whether no region is allowed.
func (r Regions) Excluded() bool { return r.Restricted && len(r.Names) == 0 }

// AllowsAny reports whether at least one of some regions is allowed.
func (r Regions) AllowsAny(regions []string) bool { return slices.ContainsFunc(regions, r.Allows) }

// Key returns a text that is equal for equal regions only; empty without a restriction.
func (r Regions) Key() string {
	escaped := make([]string, len(r.Names))
	for i, name := range r.Names {
		escaped[i] = url.QueryEscape(name)
	}
	return strings.Join(escaped, keySeparator)
}

// ParseKey returns the regions of a key; false if it is not one that Key returns.
func ParseKey(key string) (Regions, bool) {
	if key == "" {
		return Regions{}, true
	}
	var names []string
	for _, escaped := range strings.Split(key, keySeparator) {
		name, err := url.QueryUnescape(escaped)
		if err != nil || name == "" {
			return Regions{}, false
		}
		names = append(names, name)
	}
	return Of(names), true
}

// String returns the names for log lines.
func (r Regions) String() string {
	if !r.Restricted {
		return "all"
	}
	return strings.Join(r.Names, ", ")
}

// contextKey is the key of Regions in a context.
type contextKey struct{}

// NewContext returns a context for a call that carries a request with allowed regions.
func NewContext(ctx context.Context, r Regions) context.Context {
	if !r.Restricted {
		return ctx
	}
	return context.WithValue(ctx, contextKey{}, r)
}

// FromContext returns the allowed regions of the request that a call carries.
func FromContext(ctx context.Context) Regions {
	r, _ := ctx.Value(contextKey{}).(Regions)
	return r
}
