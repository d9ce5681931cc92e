package forms

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"sesamehill.example/sesamehill/pkg/config"
)

const (
	// maxWholeTextBytes is the size of the largest document that is edited as one
	// text. Larger documents are edited in parts, so that a page stays under 50 KB.
	maxWholeTextBytes = 16 << 10
	// accountsPerPart is the number of accounts in one part; 20 accounts take about
	// 8 KB.
	accountsPerPart = 20
	// maxFormattedAccounts is the number of accounts above which a document is edited
	// in parts without formatting it to determine its size.
	maxFormattedAccounts = 200
	basePart             = "base"
	wholePart            = "whole"
	accountsPart         = "accounts:"
)

// rawEditor edits the document as TOML. Its entries are the parts "whole", "base"
// (everything but the accounts) and "accounts:N", the Nth group of accountsPerPart
// accounts sorted by name.
type rawEditor struct{}

func (rawEditor) title(name string) string { return "TOML: " + name }
func (rawEditor) listPath() string         { return "/raw" }

func (rawEditor) fields(d *config.Document, name string) ([]field, bool) {
	part, ok := documentPart(d, name)
	if !ok {
		return nil, false
	}
	var v any = part
	if strings.HasPrefix(name, accountsPart) {
		v = accountsText{Accounts: part.Accounts}
	}
	var b bytes.Buffer
	if err := toml.NewEncoder(&b).Encode(v); err != nil {
		return nil, false
	}
	return []field{
		{Name: "toml", Label: "Text", Help: partHelp(name), Kind: tomlField, Values: []string{b.String()}},
		{Name: "held", Kind: "hidden", Values: []string{partAccountNames(part)}},
	}, true
}

// accountsText is the schema of an "accounts:N" part. The decoder rejects any other
// table as an unknown key, so that no edit is dropped silently.
type accountsText struct {
	Accounts []config.Account `toml:"account"`
}

func partHelp(name string) string {
	if strings.HasPrefix(name, accountsPart) {
		return "Add, change or remove [[account]] tables of this part."
	}
	return "The text as it goes into the document."
}

// partAccountNames lists the accounts of a part when its form was opened; apply
// replaces only these. Otherwise it would remove an account that another operator
// added to the same part meanwhile.
func partAccountNames(part *config.Document) string {
	names := make([]string, 0, len(part.Accounts))
	for i := range part.Accounts {
		names = append(names, part.Accounts[i].Name)
	}
	return strings.Join(names, " ")
}

// documentPart returns a document that contains only the named part.
func documentPart(d *config.Document, name string) (*config.Document, bool) {
	part := *d
	switch n, isAccounts := strings.CutPrefix(name, accountsPart); {
	case name == wholePart:
		return &part, fitsWhole(d)
	case name == basePart:
		part.Accounts = nil
		return &part, true
	case isAccounts:
		i, err := strconv.Atoi(n)
		sorted := sortedAccounts(d)
		if err != nil || i < 0 || i*accountsPerPart >= len(sorted) {
			return nil, false
		}
		sorted = sorted[i*accountsPerPart : min((i+1)*accountsPerPart, len(sorted))]
		return &config.Document{Accounts: sorted}, true
	}
	return nil, false
}

// fitsWhole reports whether the document is small enough to be edited as one text.
func fitsWhole(d *config.Document) bool {
	if len(d.Accounts) > maxFormattedAccounts {
		return false
	}
	b, err := d.Format()
	return err == nil && len(b) <= maxWholeTextBytes
}

func sortedAccounts(d *config.Document) []config.Account {
	return slices.SortedFunc(slices.Values(d.Accounts), func(a, b config.Account) int { return strings.Compare(a.Name, b.Name) })
}

func (rawEditor) apply(d *config.Document, name string, v values) (*config.Document, []config.Fault) {
	body := []byte(strings.Join(v["toml"], ""))
	if name == wholePart {
		out, err := config.ParseDocument("text", body)
		return out, parseFaults(err)
	}
	decoder := toml.NewDecoder(bytes.NewReader(body)).DisallowUnknownFields()
	if name == basePart {
		var part config.Document
		if err := decoder.Decode(&part); err != nil {
			return nil, []config.Fault{tomlFault(err)}
		}
		if len(part.Accounts) > 0 {
			return nil, []config.Fault{{Key: "account", Problem: "accounts do not belong in this part", Remedy: "edit them in the parts named accounts:N"}}
		}
		part.Accounts = d.Accounts
		return &part, nil
	}
	var part accountsText
	if err := decoder.Decode(&part); err != nil {
		return nil, []config.Fault{tomlFault(err)}
	}
	replaced := map[string]bool{}
	for _, n := range strings.Fields(v.get("held")) {
		replaced[n] = true
	}
	out := *d
	out.Accounts = slices.DeleteFunc(slices.Clone(d.Accounts), func(a config.Account) bool { return replaced[a.Name] })
	out.Accounts = append(out.Accounts, part.Accounts...)
	return &out, nil
}

func parseFaults(err error) []config.Fault {
	var f *config.FaultsError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &f):
		return f.Faults
	}
	return []config.Fault{{Problem: err.Error(), Remedy: "correct the text"}}
}

// tomlFault converts a decoding error into a fault with the line and key at which it
// occurred.
func tomlFault(err error) config.Fault {
	f := config.Fault{Problem: strings.TrimPrefix(err.Error(), "toml: "), Remedy: "correct the text at this line"}
	var d *toml.DecodeError
	var unknown *toml.StrictMissingError
	switch {
	case errors.As(err, &unknown) && len(unknown.Errors) > 0:
		f.Line, _ = unknown.Errors[0].Position()
		f.Key = strings.Join(unknown.Errors[0].Key(), ".")
		f.Problem, f.Remedy = "the key is not part of this text", "remove it; docs/config.md lists the keys"
	case errors.As(err, &d):
		f.Line, _ = d.Position()
		f.Key = strings.Join(d.Key(), ".")
	}
	return f
}

// rawParts lists the parts of a document.
func rawParts(d *config.Document) []string {
	if fitsWhole(d) {
		return []string{wholePart}
	}
	parts := []string{basePart}
	for i := 0; i*accountsPerPart < len(d.Accounts); i++ {
		parts = append(parts, fmt.Sprintf("%s%d", accountsPart, i))
	}
	return parts
}

// rawLabel describes the content of a part; sorted contains the accounts sorted by
// name.
func rawLabel(sorted []config.Account, name string) string {
	n, isAccounts := strings.CutPrefix(name, accountsPart)
	i, err := strconv.Atoi(n)
	switch {
	case name == basePart:
		return "everything but the accounts"
	case !isAccounts || err != nil:
		return "the whole document"
	}
	last := min((i+1)*accountsPerPart, len(sorted)) - 1
	return sorted[i*accountsPerPart].Name + " to " + sorted[last].Name
}
