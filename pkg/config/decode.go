package config

import (
	"bytes"
	"encoding"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// decodeTOML decodes data into v, a pointer to a struct with toml tags. It
// returns a fault for each unknown key and each value of the wrong type. The
// other keys are still decoded into v, so that the caller can check them too.
func decodeTOML(data []byte, v any) []Fault {
	if f, ok := longKeyFault(data); ok {
		return []Fault{f}
	}
	err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(v)
	if err == nil {
		return nil
	}
	tree := map[string]any{}
	if err := toml.Unmarshal(data, &tree); err != nil {
		return []Fault{syntaxFault(err)}
	}
	var s schemaChecker
	s.checkTable("", tree, reflect.TypeOf(v).Elem())
	if len(s.faults) == 0 {
		return []Fault{syntaxFault(err)}
	}
	// The schema checker has removed the faulty keys from the tree.
	reflect.ValueOf(v).Elem().SetZero()
	validKeys, err := toml.Marshal(tree)
	if err == nil {
		err = toml.Unmarshal(validKeys, v)
	}
	if err != nil {
		s.faults = append(s.faults, Fault{Problem: err.Error(), Remedy: "correct the other faults first"})
	}
	return s.faults
}

func syntaxFault(err error) Fault {
	f := Fault{Problem: strings.TrimPrefix(err.Error(), "toml: "), Remedy: "correct the TOML syntax at this line"}
	var d *toml.DecodeError
	if errors.As(err, &d) {
		f.Line, _ = d.Position()
		f.Key = strings.Join(d.Key(), ".")
	}
	return f
}

// maxKeyParts bounds the parts of a dotted key. The TOML decoder takes 4 s for a key of
// 100,000 parts, and a time that grows with the square of their number.
const maxKeyParts = 32

// longKeyFault returns a fault for the first key with too many parts.
func longKeyFault(data []byte) (Fault, bool) {
	var p unstable.Parser
	p.Reset(data)
	for p.NextExpression() {
		if n := longKey(p.Expression()); n != nil {
			line := 1 + bytes.Count(data[:n.Raw.Offset], []byte{'\n'})
			return Fault{Line: line, Problem: fmt.Sprintf("a key has more than %d parts", maxKeyParts), Remedy: "use the keys of the format"}, true
		}
	}
	return Fault{}, false
}

// longKey returns the first part of a key with too many parts in an expression or in its
// values; nil if there is none.
func longKey(e *unstable.Node) *unstable.Node {
	switch e.Kind {
	case unstable.KeyValue, unstable.Table, unstable.ArrayTable:
		it := e.Key()
		var first *unstable.Node
		for n := 0; it.Next(); n++ {
			if n == 0 {
				first = it.Node()
			}
			if n == maxKeyParts {
				return first
			}
		}
		if e.Kind == unstable.KeyValue {
			return longKey(e.Value())
		}
	case unstable.Array, unstable.InlineTable:
		for it := e.Children(); it.Next(); {
			if n := longKey(it.Node()); n != nil {
				return n
			}
		}
	}
	return nil
}

// schemaChecker compares a decoded tree with a struct type. It records a fault
// for each key that does not fit and removes the key.
type schemaChecker struct {
	faults []Fault
}

func (s *schemaChecker) checkTable(path string, tree map[string]any, t reflect.Type) {
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ",")
		fields[name] = t.Field(i).Type
	}
	names := slices.Sorted(maps.Keys(fields))
	for _, k := range slices.Sorted(maps.Keys(tree)) {
		keyPath := joinPath(path, k)
		ft, ok := fields[k]
		if !ok {
			s.addFault(keyPath, "unknown key", "remove it or use one of: "+strings.Join(names, ", "))
			delete(tree, k)
			continue
		}
		if !s.checkValue(keyPath, tree[k], ft) {
			delete(tree, k)
		}
	}
}

// checkValue reports whether a value fits t.
func (s *schemaChecker) checkValue(path string, v any, t reflect.Type) bool {
	if u, ok := reflect.New(t).Interface().(encoding.TextUnmarshaler); ok {
		text, ok := v.(string)
		if !ok {
			return s.addMismatch(path, v, "a string")
		}
		if err := u.UnmarshalText([]byte(text)); err != nil {
			s.addFault(path, err.Error(), "correct the value")
			return false
		}
		return true
	}
	switch t.Kind() {
	case reflect.Struct:
		m, ok := v.(map[string]any)
		if !ok {
			return s.addMismatch(path, v, "a table")
		}
		s.checkTable(path, m, t)
	case reflect.Slice:
		list, ok := v.([]any)
		if !ok {
			return s.addMismatch(path, v, "a list")
		}
		for i, e := range list {
			if !s.checkValue(fmt.Sprintf("%s[%d]", path, i), e, t.Elem()) {
				return false
			}
		}
	default:
		return s.checkScalar(path, v, t)
	}
	return true
}

func (s *schemaChecker) checkScalar(path string, v any, t reflect.Type) bool {
	switch t.Kind() {
	case reflect.String:
		if _, ok := v.(string); !ok {
			return s.addMismatch(path, v, "a string")
		}
	case reflect.Bool:
		if _, ok := v.(bool); !ok {
			return s.addMismatch(path, v, "true or false")
		}
	case reflect.Float64:
		_, isInteger := v.(int64)
		if _, ok := v.(float64); !ok && !isInteger {
			return s.addMismatch(path, v, "a number")
		}
	default:
		n, ok := v.(int64)
		if !ok {
			return s.addMismatch(path, v, "a whole number")
		}
		if z := reflect.New(t).Elem(); z.CanUint() && (n < 0 || z.OverflowUint(uint64(n))) || z.CanInt() && z.OverflowInt(n) {
			return s.addMismatch(path, v, "a whole number in the range of "+t.String())
		}
	}
	return true
}

func (s *schemaChecker) addMismatch(path string, v any, want string) bool {
	problem := fmt.Sprintf("is %v", v)
	switch v.(type) {
	case map[string]any:
		problem = "is a table"
	case []any:
		problem = "is a list"
	case string:
		problem = fmt.Sprintf("is the string %q", v)
	}
	s.addFault(path, problem, "give "+want)
	return false
}

func (s *schemaChecker) addFault(key, problem, remedy string) {
	s.faults = append(s.faults, Fault{Key: key, Problem: problem, Remedy: remedy})
}

// setLines sets the line of each fault whose key, or the nearest enclosing table
// of its key, occurs in data.
func setLines(data []byte, faults []Fault) {
	if !slices.ContainsFunc(faults, func(f Fault) bool { return f.Line == 0 }) {
		return
	}
	lines := keyLines(data)
	for i := range faults {
		f := &faults[i]
		for key := f.Key; f.Line == 0 && key != ""; {
			f.Line = lines[key]
			separator := strings.LastIndexAny(key, ".[")
			key = key[:max(separator, 0)]
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return a.Line - b.Line })
}

// keyLines returns the line of every table and key, by path.
func keyLines(data []byte) map[string]int {
	lines := map[string]int{}
	counts := map[string]int{}
	counter := lineCounter{data: data, line: 1}
	var p unstable.Parser
	p.Reset(data)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		path, line := "", 0
		if e.Kind == unstable.KeyValue {
			path = table
		}
		for it := e.Key(); it.Next(); {
			n := it.Node()
			if line == 0 {
				line = counter.lineOf(int(n.Raw.Offset))
			}
			path = joinPath(path, string(n.Data))
			if c := counts[path]; c > 0 && !it.IsLast() {
				path = fmt.Sprintf("%s[%d]", path, c-1)
			}
		}
		switch e.Kind {
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", path, counts[path])
			counts[path]++
			lines[table] = line
		case unstable.Table:
			table = path
		}
		if _, seen := lines[path]; !seen {
			lines[path] = line
		}
	}
	return lines
}

// lineCounter converts increasing byte offsets to line numbers.
type lineCounter struct {
	data      []byte
	pos, line int
}

func (c *lineCounter) lineOf(offset int) int {
	if offset > c.pos {
		c.line += bytes.Count(c.data[c.pos:offset], []byte{'\n'})
		c.pos = offset
	}
	return c.line
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
