package table

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"

	"sesamehill.example/sesamehill/internal/split"
)

// Bounds of the texts of an entry. Other writers may add entries to the list.
const (
	maxEntryTextBytes = 200
	maxQuotedBytes    = 100
)

// EntryError reports an entry of the list that names no host or target.
type EntryError struct{ Name, Problem string }

// Error names the entry and the remedy.
func (e *EntryError) Error() string {
	return fmt.Sprintf("listed entry %q: %s; it is ignored until its writer corrects it", shorten(e.Name), shorten(e.Problem))
}

// Check returns an *EntryError if the entry names no target to use.
func (t ListedTarget) Check() error {
	switch {
	case t.Kind != Engine && t.Kind != Store && t.Kind != Service:
		return &EntryError{Name: t.Name, Problem: fmt.Sprintf("kind %q is unknown", shorten(string(t.Kind)))}
	case len(t.Service) > maxEntryTextBytes:
		return &EntryError{Name: t.Name, Problem: "the service is too long"}
	}
	return checkEntry(t.Name, t.Address, t.Region, t.Zone, t.State)
}

// Check returns an *EntryError if the entry names no host.
func (h ListedHost) Check() error { return checkEntry(h.Name, h.Address, h.Region, h.Zone, h.State) }

func checkEntry(name, address, region, zone string, state State) error {
	for _, text := range []string{name, address, region, zone} {
		if text == "" || len(text) > maxEntryTextBytes {
			return &EntryError{Name: name, Problem: "name, address, region or zone is missing or too long"}
		}
	}
	switch {
	case state != Live && state != Leaving:
		return &EntryError{Name: name, Problem: fmt.Sprintf("state %q is unknown", shorten(string(state)))}
	case !isAddress(address):
		return &EntryError{Name: name, Problem: fmt.Sprintf("address %q is not HOST:PORT", address)}
	}
	return nil
}

// isAddress reports whether a text is HOST:PORT with a port in range.
func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" || strings.ContainsFunc(host, func(r rune) bool { return r <= ' ' || strings.ContainsRune("/?#@\\\"", r) }) {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n != 0 && port == strconv.FormatUint(n, 10)
}

// Listing is the platform's list of hosts and targets. It lags behind their current
// state.
type Listing struct {
	Hosts   []ListedHost   `json:"hosts" cbor:"hosts"`
	Targets []ListedTarget `json:"targets" cbor:"targets"`
	// Invalid holds an error for each entry that was left out because it names no host
	// or target.
	Invalid []error `json:"-" cbor:"-"`
}

// UnmarshalListing decodes a list. An entry that cannot be used is left out and does not
// hide the others.
func UnmarshalListing(data []byte) (Listing, error) {
	var l Listing
	fields, err := split.Fields(data)
	if err != nil {
		return l, err
	}
	err = l.eachEntry(fields["hosts"], func(b []byte) error {
		var h ListedHost
		if err := json.Unmarshal(b, &h); err != nil {
			return &EntryError{Name: h.Name, Problem: err.Error()}
		}
		if err := h.Check(); err != nil {
			return err
		}
		l.Hosts = append(l.Hosts, h)
		return nil
	})
	if err != nil {
		return l, err
	}
	return l, l.eachEntry(fields["targets"], func(b []byte) error {
		var t ListedTarget
		if err := json.Unmarshal(b, &t); err != nil {
			return &EntryError{Name: t.Name, Problem: err.Error()}
		}
		if err := t.Check(); err != nil {
			return err
		}
		l.Targets = append(l.Targets, t)
		return nil
	})
}

// eachEntry calls add with each entry of an array, which may be absent, and records the
// entries that add refuses.
func (l *Listing) eachEntry(array []byte, add func([]byte) error) error {
	if array == nil || string(array) == "null" {
		return nil
	}
	entries, err := split.Elements(array)
	if err != nil {
		return err
	}
	for _, b := range entries {
		if err := add(b); err != nil {
			l.Invalid = append(l.Invalid, err)
		}
	}
	return nil
}

// shorten returns the beginning of a text, which an error may quote.
func shorten(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return text[:maxQuotedBytes] + "..."
}
