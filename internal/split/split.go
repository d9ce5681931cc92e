// Package split divides JSON arrays and objects into their elements without decoding
// these.
//
// A decoder refuses a document as a whole if one of its elements is nested too deeply.
// Where the elements come from several writers, each is to be decoded alone. The
// functions need no stack for nested elements and don't check these.
//
// # Usage
//
//	fields, err := split.Fields(document)
//	rows, err := split.Elements(fields["rows"])
//	for _, r := range rows {
//		err := json.Unmarshal(r, &row) // concerns this row only
//	}
package split

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Error reports a text that is not an array or an object.
type Error struct{ Problem string }

// Error names the problem and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("JSON cannot be divided: %s; ask its writer for a valid document", e.Problem)
}

// Elements returns the elements of an array.
func Elements(array []byte) ([][]byte, error) { return divide(array, '[', ']') }

// Fields returns the values of an object by name.
func Fields(object []byte) (map[string][]byte, error) {
	members, err := divide(object, '{', '}')
	if err != nil {
		return nil, err
	}
	fields := make(map[string][]byte, len(members))
	for _, m := range members {
		end := textEnd(m)
		var name string
		if end == 0 || json.Unmarshal(m[:end], &name) != nil {
			return nil, &Error{Problem: "a field has no name"}
		}
		value := bytes.TrimSpace(m[end:])
		if len(value) == 0 || value[0] != ':' {
			return nil, &Error{Problem: "a field has no value"}
		}
		fields[name] = bytes.TrimSpace(value[1:])
	}
	return fields, nil
}

// divide returns what is between the opening and the closing byte of a text, divided at
// the commas that are not inside of an element.
func divide(text []byte, opening, closing byte) ([][]byte, error) {
	text = bytes.TrimSpace(text)
	if len(text) < 2 || text[0] != opening || text[len(text)-1] != closing {
		return nil, &Error{Problem: fmt.Sprintf("it is not within %c and %c", opening, closing)}
	}
	text = text[1 : len(text)-1]
	var out [][]byte
	start, depth := 0, 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i += max(textEnd(text[i:])-1, 0)
		case '[', '{':
			depth++
		case ']', '}':
			if depth--; depth < 0 {
				return nil, &Error{Problem: "it is closed before its end"}
			}
		case ',':
			if depth == 0 {
				out = append(out, bytes.TrimSpace(text[start:i]))
				start = i + 1
			}
		}
	}
	if last := bytes.TrimSpace(text[start:]); len(last) > 0 || len(out) > 0 {
		out = append(out, last)
	}
	return out, nil
}

// textEnd returns the length of the string with which a text begins; zero if it begins
// with none.
func textEnd(text []byte) int {
	if len(text) == 0 || text[0] != '"' {
		return 0
	}
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return 0
}
