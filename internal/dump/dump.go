package dump

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"sync"
)

// Registry holds the sections of a dump.
type Registry struct {
	mu       sync.Mutex
	sections map[string]func() any
	// checkResults holds the result of check for each section type.
	checkResults map[reflect.Type]error
}

// New returns a registry without sections.
func New() *Registry {
	return &Registry{sections: make(map[string]func() any), checkResults: make(map[reflect.Type]error)}
}

// Add adds a section, or replaces the section of that name. The function must
// return a copy that is not modified afterwards; it is called for each dump, from
// any goroutine.
func (r *Registry) Add(name string, snapshot func() any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sections[name] = snapshot
}

// JSON returns all sections as one JSON object. A section that is left out has
// the reason in its field "error".
func (r *Registry) JSON() ([]byte, error) {
	r.mu.Lock()
	snapshots := make(map[string]func() any, len(r.sections))
	for name, f := range r.sections {
		snapshots[name] = f
	}
	r.mu.Unlock()
	rendered := make(map[string]json.RawMessage, len(snapshots))
	for name, f := range snapshots {
		b, err := r.render(name, f)
		if err != nil {
			if b, err = json.Marshal(omittedSection{Error: err.Error()}); err != nil {
				return nil, err
			}
		}
		rendered[name] = b
	}
	return json.MarshalIndent(rendered, "", "  ")
}

type omittedSection struct {
	Error string `json:"error"`
}

func (r *Registry) render(name string, snapshot func() any) (b []byte, err error) {
	defer func() {
		if recover() != nil {
			// The panic value is dropped, since it may contain secrets or prompt text.
			b, err = nil, &SectionError{Section: name, Reason: "its snapshot function panicked", Remedy: "see the log of the component"}
		}
	}()
	v := snapshot()
	if err := r.check(reflect.TypeOf(v)); err != nil {
		return nil, &SectionError{Section: name, Reason: err.Error(), Remedy: "leave the field out of the section's type"}
	}
	if b, err = json.Marshal(v); err != nil {
		return nil, &SectionError{Section: name, Reason: "it cannot be encoded as JSON", Remedy: "use plain exported structs"}
	}
	return b, nil
}

func (r *Registry) check(t reflect.Type) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	err, ok := r.checkResults[t]
	if !ok {
		err = checkType(t, "section", map[reflect.Type]bool{})
		r.checkResults[t] = err
	}
	return err
}

// SectionError reports that a section is left out of the dump.
type SectionError struct {
	Section string
	Reason  string
	Remedy  string
}

// Error names the section, the reason and the remedy.
func (e *SectionError) Error() string {
	return fmt.Sprintf("section %q is left out: %s; %s", e.Section, e.Reason, e.Remedy)
}

// privateFields contains the lower-case names of fields that hold secrets or the
// content of requests. Numbers and Booleans with these names are counts and flags.
var privateFields = map[string]bool{
	"apikey": true, "apikeys": true, "authorization": true, "body": true, "content": true, "emitted": true,
	"header": true, "headers": true, "messages": true, "operators": true, "password": true, "prompt": true,
	"prompts": true, "secret": true, "secrets": true, "text": true, "texts": true, "token": true, "tokens": true,
}

var (
	rawJSONType       = reflect.TypeFor[json.RawMessage]()
	textMarshalerType = reflect.TypeFor[encoding.TextMarshaler]()
)

// checkType returns an error for a type that could carry secrets or the content
// of requests into the dump.
func checkType(t reflect.Type, path string, visited map[reflect.Type]bool) error {
	if t == nil {
		return fmt.Errorf("%s is nil", path)
	}
	if visited[t] {
		return nil
	}
	visited[t] = true
	switch {
	case t == rawJSONType:
		return fmt.Errorf("%s is raw JSON", path)
	case t.Implements(textMarshalerType) || reflect.PointerTo(t).Implements(textMarshalerType):
		// Times, addresses and block keys.
		return nil
	}
	switch t.Kind() {
	case reflect.Pointer, reflect.Array:
		return checkType(t.Elem(), path, visited)
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Uint8 {
			return fmt.Errorf("%s holds raw bytes", path)
		}
		return checkType(t.Elem(), path+"[]", visited)
	case reflect.Map:
		return checkType(t.Elem(), path+"[]", visited)
	case reflect.Interface, reflect.Func, reflect.Chan, reflect.UnsafePointer:
		return fmt.Errorf("%s is of kind %s, which does not determine its content", path, t.Kind())
	case reflect.Struct:
		return checkFields(t, path, visited)
	}
	return nil
}

func checkFields(t reflect.Type, path string, visited map[reflect.Type]bool) error {
	for i := range t.NumField() {
		f := t.Field(i)
		tag, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if tag == "-" || !f.IsExported() && !f.Anonymous {
			continue
		}
		fieldPath := path + "." + f.Name
		if (privateFields[strings.ToLower(f.Name)] || privateFields[strings.ToLower(tag)]) && canHoldText(f.Type) {
			return fmt.Errorf("%s is named like a secret or the content of a request", fieldPath)
		}
		if strings.EqualFold(f.Name, "keys") && f.Type == reflect.TypeFor[[]string]() {
			return fmt.Errorf("%s is named like a list of API keys", fieldPath)
		}
		if err := checkType(f.Type, fieldPath, visited); err != nil {
			return err
		}
	}
	return nil
}

// canHoldText reports whether a value of the type can hold more than a single
// number or Boolean.
func canHoldText(t reflect.Type) bool {
	switch t.Kind() {
	case reflect.Pointer:
		return canHoldText(t.Elem())
	case reflect.String, reflect.Slice, reflect.Array, reflect.Map, reflect.Struct, reflect.Interface:
		return true
	}
	return false
}
