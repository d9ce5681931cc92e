package config

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// EffectKind is the kind of entry that a change affects.
type EffectKind string

// Kinds of effects, in the order in which Diff returns them.
const (
	DeploymentEffect EffectKind = "deployment"
	WeightsEffect    EffectKind = "weights"
	LimitsEffect     EffectKind = "limits"
	RegionEffect     EffectKind = "region"
	LinkEffect       EffectKind = "link"
	ModelEffect      EffectKind = "model"
	VersionEffect    EffectKind = "version"
	ServiceEffect    EffectKind = "service"
	AccountEffect    EffectKind = "account"
)

// Effect is one difference between two configuration documents.
type Effect struct {
	Kind EffectKind `json:"kind"`
	// Name is the affected region, link, model, service or account.
	Name string `json:"name,omitempty"`
	// Field is empty if the whole entry was added or removed.
	Field string `json:"field,omitempty"`
	// Before is empty for an addition, After for a removal.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
	// Accounts are the accounts that may use an affected model or service.
	Accounts []string `json:"accounts,omitempty"`
}

// String returns the effect on one line.
func (e Effect) String() string {
	subject := strings.TrimSpace(string(e.Kind) + " " + e.Name)
	if e.Kind == VersionEffect {
		subject = "model " + e.Name
	}
	line := fmt.Sprintf("%s: %s: %s -> %s", subject, e.Field, valueOrNone(e.Before), valueOrNone(e.After))
	if e.Field == "" {
		line = subject + ": added"
		if e.After == "" {
			line = subject + ": removed"
		}
	}
	if len(e.Accounts) > 0 {
		line += fmt.Sprintf(" (accounts touched: %d)", len(e.Accounts))
	}
	return line
}

// Diff returns the changes from before to after. The order of entries has no
// effect.
func Diff(before, after *Document) []Effect {
	var d differ
	d.compareFields(DeploymentEffect, "", &before.Deployment, &after.Deployment)
	d.compareFields(WeightsEffect, "", &before.Weights, &after.Weights)
	d.compareFields(LimitsEffect, "", &before.Limits, &after.Limits)
	d.compareEntries(RegionEffect, before.Regions, after.Regions, func(e any) string { return e.(*Region).Name })
	d.compareEntries(LinkEffect, before.Links, after.Links, func(e any) string {
		l := e.(*Link)
		return min(l.From, l.To) + " - " + max(l.From, l.To)
	})
	d.compareEntries(ModelEffect, before.Models, after.Models, func(e any) string { return e.(*Model).Name })
	d.compareEntries(ServiceEffect, before.Services, after.Services, func(e any) string { return e.(*Service).Name })
	d.compareEntries(AccountEffect, before.Accounts, after.Accounts, func(e any) string { return e.(*Account).Name })
	for i := range d.effects {
		d.effects[i].Accounts = accountsUsing(d.effects[i], before, after)
	}
	return d.effects
}

type differ struct {
	effects []Effect
}

// compareEntries compares two lists by name; name is called with a pointer to an
// entry.
func (d *differ) compareEntries(kind EffectKind, a, b any, name func(entry any) string) {
	// Pointers are sorted and indexed, because copying 10,000 accounts is slow.
	before, after := entryPointers(a), entryPointers(b)
	unmatched := make(map[string]int, len(before))
	for i, e := range before {
		unmatched[name(e)] = i
	}
	byName := func(x, y any) int { return cmp.Compare(name(x), name(y)) }
	if !slices.IsSortedFunc(after, byName) {
		slices.SortStableFunc(after, byName)
	}
	for _, e := range after {
		n := name(e)
		i, ok := unmatched[n]
		delete(unmatched, n)
		if !ok {
			d.effects = append(d.effects, Effect{Kind: kind, Name: n, After: formatEntry(e)})
			continue
		}
		d.compareFields(kind, n, before[i], e)
	}
	for _, e := range before {
		n := name(e)
		if _, removed := unmatched[n]; removed {
			d.effects = append(d.effects, Effect{Kind: kind, Name: n, Before: formatEntry(e)})
		}
	}
}

// entryPointers returns a pointer to each entry of a list.
func entryPointers(list any) []any {
	v := reflect.ValueOf(list)
	out := make([]any, v.Len())
	for i := range out {
		out[i] = v.Index(i).Addr().Interface()
	}
	return out
}

// formatEntry formats the entry that e points to.
func formatEntry(e any) string { return formatValue(reflect.ValueOf(e).Elem().Interface()) }

// compareFields compares the structs that a and b point to, field by field.
func (d *differ) compareFields(kind EffectKind, name string, a, b any) {
	av, bv := reflect.ValueOf(a).Elem(), reflect.ValueOf(b).Elem()
	for i := range av.NumField() {
		x, y := av.Field(i), bv.Field(i)
		if sameValue(x, y) {
			continue
		}
		field, _, _ := strings.Cut(av.Type().Field(i).Tag.Get("toml"), ",")
		k := kind
		if kind == ModelEffect && field == "version" {
			k = VersionEffect
		}
		d.effects = append(d.effects, Effect{Kind: k, Name: name, Field: field, Before: formatValue(x.Interface()), After: formatValue(y.Interface())})
	}
}

// sameValue reports whether two fields hold the same value. A nil and an empty
// list are the same. Comparisons that allocate nothing come first, because
// documents have 100,000 fields.
func sameValue(x, y reflect.Value) bool {
	if x.Kind() != reflect.Slice {
		return x.Comparable() && x.Equal(y) || reflect.DeepEqual(x.Interface(), y.Interface())
	}
	if x.Len() != y.Len() {
		return false
	}
	return x.Len() == 0 || x.Pointer() == y.Pointer() || reflect.DeepEqual(x.Interface(), y.Interface())
}

// accountsUsing returns the accounts that may use the model or service that e
// affects.
func accountsUsing(e Effect, docs ...*Document) []string {
	var names []string
	for _, d := range docs {
		for i := range d.Accounts {
			a := &d.Accounts[i]
			switch e.Kind {
			case ModelEffect, VersionEffect:
				if slices.Contains(a.Models, e.Name) {
					names = append(names, a.Name)
				}
			case ServiceEffect:
				if slices.Contains(a.Services, e.Name) {
					names = append(names, a.Name)
				}
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// formatValue formats a value for operators. A key hash is shortened.
func formatValue(v any) string {
	switch v := v.(type) {
	case string:
		if IsKeyHash(v) {
			return v[:len(keyHashPrefix)+8]
		}
		return v
	case Duration:
		return v.AsDuration().String()
	}
	r := reflect.ValueOf(v)
	switch r.Kind() {
	case reflect.Slice:
		parts := make([]string, 0, r.Len())
		for i := range r.Len() {
			parts = append(parts, formatValue(r.Index(i).Interface()))
		}
		return strings.Join(parts, ", ")
	case reflect.Struct:
		var parts []string
		for i := range r.NumField() {
			field, _, _ := strings.Cut(r.Type().Field(i).Tag.Get("toml"), ",")
			if f := r.Field(i); !f.IsZero() {
				parts = append(parts, field+"="+formatValue(f.Interface()))
			}
		}
		return "{" + strings.Join(parts, " ") + "}"
	}
	return fmt.Sprint(v)
}

func valueOrNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}
