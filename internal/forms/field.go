package forms

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"sesamehill.example/sesamehill/pkg/config"
)

// Kinds of form fields. The edit page has different markup for each.
const (
	textField   = "text"
	numberField = "number"
	linesField  = "lines"
	choiceField = "choice"
	checkField  = "check"
	tomlField   = "toml"
)

// field is one input of a form.
type field struct {
	Name  string
	Label string
	Help  string
	Kind  string
	// Values has one element for a single value, or one for each line or selected
	// option.
	Values  []string
	Options []string
	Fixed   bool
}

// Value returns the values joined by newlines.
func (f field) Value() string { return strings.Join(f.Values, "\n") }

// Has reports whether the option is selected.
func (f field) Has(option string) bool { return slices.Contains(f.Values, option) }

// Choices returns the options, followed by the selected values that are not among
// them.
func (f field) Choices() []string {
	all := slices.Clone(f.Options)
	for _, v := range f.Values {
		if !slices.Contains(all, v) {
			all = append(all, v)
		}
	}
	return all
}

// values maps the names of posted form fields to their values.
type values map[string][]string

// get returns the first value of a field without surrounding space.
func (v values) get(name string) string {
	if len(v[name]) == 0 {
		return ""
	}
	return strings.TrimSpace(v[name][0])
}

// list returns the nonempty lines of all values of a field.
func (v values) list(name string) []string {
	var out []string
	for _, s := range v[name] {
		for l := range strings.Lines(s) {
			if l = strings.TrimSpace(l); l != "" {
				out = append(out, l)
			}
		}
	}
	return out
}

// valueParser parses posted values and collects a fault for each that is malformed.
type valueParser struct {
	values values
	faults []config.Fault
}

func (r *valueParser) integer(name string) int {
	s := r.values.get(name)
	n, err := strconv.Atoi(s)
	if err != nil {
		r.addFault(name, s, "a whole number")
	}
	return n
}

func (r *valueParser) float(name string) float64 {
	s := r.values.get(name)
	n, err := strconv.ParseFloat(s, 64)
	if err != nil {
		r.addFault(name, s, "a number")
	}
	return n
}

func (r *valueParser) duration(name string) config.Duration {
	var d config.Duration
	s := r.values.get(name)
	if err := d.UnmarshalText([]byte(s)); err != nil {
		r.addFault(name, s, `a duration such as "250ms" or "3s"`)
	}
	return d
}

func (r *valueParser) addFault(name, value, expected string) {
	r.faults = append(r.faults, config.Fault{Key: name, Problem: fmt.Sprintf("is %q", value), Remedy: "give " + expected})
}

func textInput(name, label, help, value string) field {
	return field{Name: name, Label: label, Help: help, Kind: textField, Values: []string{value}}
}

func numberInput(name, label, help string, value any) field {
	return field{Name: name, Label: label, Help: help, Kind: numberField, Values: []string{fmt.Sprint(value)}}
}

func linesInput(name, label, help string, list []string) field {
	return field{Name: name, Label: label, Help: help, Kind: linesField, Values: list}
}

func choiceInput(name, label, help string, selected, options []string) field {
	return field{Name: name, Label: label, Help: help, Kind: choiceField, Values: selected, Options: options}
}

func checkInput(name, label, help string, checked bool) field {
	f := field{Name: name, Label: label, Help: help, Kind: checkField}
	if checked {
		f.Values = []string{"on"}
	}
	return f
}
