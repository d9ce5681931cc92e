package forms

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/diff"

	"sesamehill.example/sesamehill/pkg/config"
	"sesamehill.example/sesamehill/pkg/opapi"
)

const (
	// maxDiff is the size of the text difference that a preview shows.
	maxDiff = 8 << 10
	// maxEffect is the length of one line of effects, and maxEffects that of all.
	maxEffect  = 300
	maxEffects = 8 << 10
	// historyLook is the number of changes that are searched for those since the
	// base of an edit.
	historyLook = 100
)

// input is a posted edit.
type input struct {
	form   string
	entry  string
	base   uint64
	id     string
	values values
	edit   editor
}

// formNames are the posted fields that are not values of the edit.
var formNames = []string{"base", "csrf", "entry", "form", "id"}

func readInput(v *pageRequest) (input, error) {
	in := input{form: v.PostForm("form"), entry: v.PostForm("entry"), id: v.PostForm("id"), values: values{}}
	var ok bool
	if in.edit, ok = editors[in.form]; !ok {
		return in, &inputError{problem: "there is no such form; open it from the lists"}
	}
	var err error
	if in.base, err = strconv.ParseUint(v.PostForm("base"), 10, 64); err != nil {
		return in, &inputError{problem: "the form names no base revision; open it again"}
	}
	v.PostArgs().VisitAll(func(k, value []byte) {
		if name := string(k); !slices.Contains(formNames, name) {
			in.values[name] = append(in.values[name], string(value))
		}
	})
	return in, nil
}

// pair is a hidden field.
type pair struct{ Name, Value string }

func (in input) pairs() []pair {
	var out []pair
	for name, list := range in.values {
		for _, v := range list {
			out = append(out, pair{name, v})
		}
	}
	slices.SortStableFunc(out, func(a, b pair) int { return strings.Compare(a.Name, b.Name) })
	return out
}

type editBody struct {
	Form   string
	Entry  string
	Base   uint64
	Back   string
	Fields []field
	Faults []config.Fault
	// Removable tells whether the entry can be removed.
	Removable bool
}

func (f *Forms) editPage(_ context.Context, v *pageRequest) {
	e, ok := editors[v.Query("form")]
	revision, d := f.backend.Document()
	name := v.Query("entry")
	var fields []field
	if ok {
		fields, ok = e.fields(d, name)
	}
	if !ok {
		f.showMessage(v, http.StatusNotFound, "Not found", "The document has no such entry. Another operator may have removed it.")
		return
	}
	form := v.Query("form")
	f.showPage(v, http.StatusOK, "edit", e.title(name), editBody{
		Form: form, Entry: name, Base: revision, Back: e.listPath(), Fields: fields,
		Removable: name != "" && form != "raw" && form != "limits",
	})
}

// editPost shows a form with the values that were posted.
func (f *Forms) editPost(_ context.Context, v *pageRequest) {
	in, err := readInput(v)
	if err != nil {
		f.showError(v, err)
		return
	}
	f.showEdit(v, http.StatusOK, in, nil)
}

func (f *Forms) showEdit(v *pageRequest, status int, in input, faults []config.Fault) {
	_, d := f.backend.Document()
	fields, ok := in.edit.fields(d, in.entry)
	if !ok {
		fields, _ = in.edit.fields(d, "")
	}
	if in.form == "raw" && len(fields) == 0 {
		fields = []field{{Name: "toml", Label: "Text", Kind: tomlField}, {Name: "held", Kind: "hidden"}}
	}
	for i := range fields {
		fields[i].Values = in.values[fields[i].Name]
	}
	shown := faults[:min(maxShownItems, len(faults))]
	f.showPage(v, status, "edit", in.edit.title(in.entry), editBody{
		Form: in.form, Entry: in.entry, Base: in.base, Back: in.edit.listPath(), Fields: fields, Faults: shown,
		Removable: in.entry != "" && in.form != "raw" && in.form != "limits",
	})
}

type previewBody struct {
	Form  string
	Entry string
	// Base is the revision on which the commit will rest.
	Base     uint64
	Opened   uint64
	ID       string
	Pairs    []pair
	Effects  []string
	More     int
	Warnings []config.Fault
	Diff     []diffLine
	// Cut tells that the difference is longer than what is shown.
	Cut bool
	// Others are the changes since the form was opened.
	Others []opapi.Change
	// Conflict is set when a commit was refused because of another change.
	Conflict *opapi.ConflictError
	Back     string
}

type diffLine struct {
	Class string
	Text  string
}

func (f *Forms) previewPost(ctx context.Context, v *pageRequest) {
	in, err := readInput(v)
	if err != nil {
		f.showError(v, err)
		return
	}
	f.preview(ctx, v, in, nil)
}

// applied returns the document after an edit. If that is not valid, it shows the
// edit with its faults and returns false.
func (f *Forms) applied(v *pageRequest, in input, now *config.Document) (*config.Document, bool) {
	next, faults := in.edit.apply(now, in.entry, in.values)
	if len(faults) == 0 {
		faults = next.Check()
	}
	if len(faults) > 0 {
		f.showEdit(v, http.StatusUnprocessableEntity, in, named(next, faults))
		return nil, false
	}
	return next, true
}

// preview shows what an edit would change against the document in force. The
// commit that it offers rests on that revision, so that later changes of others
// conflict with it.
func (f *Forms) preview(ctx context.Context, v *pageRequest, in input, conflict *opapi.ConflictError) {
	revision, now := f.backend.Document()
	next, ok := f.applied(v, in, now)
	if !ok {
		return
	}
	effects := config.Diff(now, next)
	b := previewBody{
		Form: in.form, Entry: in.entry, Base: revision, Opened: in.base, ID: uuid.NewString(), Pairs: in.pairs(),
		Conflict: conflict, Back: in.edit.listPath(),
	}
	warnings := newWarnings(now, next)
	b.Warnings = warnings[:min(maxShownItems, len(warnings))]
	b.Effects, b.More = effectLines(effects)
	b.Diff, b.Cut = textDiff(now, next, effects)
	var err error
	if in.base < revision {
		b.Others, err = f.since(ctx, in.base)
	}
	status := http.StatusOK
	if conflict != nil {
		status = http.StatusConflict
	}
	f.showPage(v, status, "preview", "Preview", b, withNotice(err))
}

// effectLines returns the lines of the first effects and the number of the
// others.
func effectLines(effects []config.Effect) ([]string, int) {
	var out []string
	size := 0
	for _, e := range effects {
		l := shorten(e.String(), maxEffect)
		if size += len(l); size > maxEffects || len(out) == maxShownItems {
			break
		}
		out = append(out, l)
	}
	return out, len(effects) - len(out)
}

// since returns the changes after a revision.
func (f *Forms) since(ctx context.Context, base uint64) ([]opapi.Change, error) {
	changes, err := f.backend.History(ctx, historyLook)
	changes = slices.DeleteFunc(slices.Clone(changes), func(c opapi.Change) bool { return c.Revision <= base })
	changes = changes[:min(maxShownItems, len(changes))]
	return changes, err
}

type changeBody struct {
	previewBody
	Revision uint64
	Status   opapi.Status
	Unknown  string
}

func (f *Forms) commitPost(ctx context.Context, v *pageRequest) {
	in, err := readInput(v)
	if err == nil && !changeIDPattern.MatchString(in.id) {
		err = &inputError{problem: "the form names no change ID; open it again"}
	}
	if err != nil {
		f.showError(v, err)
		return
	}
	_, now := f.backend.Document()
	next, ok := f.applied(v, in, now)
	if !ok {
		return
	}
	revision, err := f.commit(ctx, in.base, next, in.id, v.session.author)
	var conflict *opapi.ConflictError
	var unknown *opapi.UnknownOutcomeError
	b := changeBody{Revision: revision, previewBody: previewBody{
		Form: in.form, Entry: in.entry, Base: in.base, ID: in.id, Pairs: in.pairs(), Back: in.edit.listPath(),
	}}
	switch {
	case errors.As(err, &conflict):
		f.preview(ctx, v, in, conflict)
	case errors.As(err, &unknown):
		b.Unknown = unknown.Error()
		f.showPage(v, http.StatusGatewayTimeout, "change", "Outcome unknown", b)
	case err != nil:
		f.showError(v, err)
	default:
		b.Status, err = f.backend.Status(ctx)
		f.showPage(v, http.StatusOK, "change", fmt.Sprintf("Revision %d accepted", revision), b, withNotice(err))
	}
}

// newWarnings returns the warnings that the document in force does not have.
func newWarnings(now, next *config.Document) []config.Fault {
	known := map[string]bool{}
	for _, w := range now.Warnings() {
		known[w.Problem] = true
	}
	return slices.DeleteFunc(next.Warnings(), func(w config.Fault) bool { return known[w.Problem] })
}

var accountKey = regexp.MustCompile(`^account\[(\d+)\]`)

// named replaces the positions of accounts in the keys of faults by their names,
// because a form shows no positions.
func named(d *config.Document, faults []config.Fault) []config.Fault {
	out := slices.Clone(faults)
	for i := range out {
		m := accountKey.FindStringSubmatch(out[i].Key)
		if m == nil || d == nil {
			continue
		}
		if n, err := strconv.Atoi(m[1]); err == nil && n < len(d.Accounts) {
			out[i].Key = "account " + d.Accounts[n].Name + strings.TrimPrefix(out[i].Key, m[0])
		}
	}
	return out
}

// textDiff returns the difference of the parts of the text that changed. Only
// these are formatted: a whole document of 10,000 accounts takes too long.
func textDiff(a, b *config.Document, effects []config.Effect) ([]diffLine, bool) {
	touched := map[string]bool{}
	for _, e := range effects {
		if e.Kind == config.AccountEffect {
			touched[e.Name] = true
		}
	}
	old, new := touchedText(a, touched), touchedText(b, touched)
	out := diff.Diff("in force", old, "after the change", new)
	cut := len(out) > maxDiff
	if cut {
		out = out[:bytes.LastIndexByte(out[:maxDiff], '\n')+1]
	}
	var list []diffLine
	for l := range strings.Lines(string(out)) {
		d := diffLine{Text: strings.TrimSuffix(l, "\n")}
		switch l[0] {
		case '+':
			d.Class = "plus"
		case '-':
			d.Class = "minus"
		}
		list = append(list, d)
	}
	return list, cut
}

func touchedText(d *config.Document, touched map[string]bool) []byte {
	part := *d
	part.Accounts = nil
	for i := range d.Accounts {
		if touched[d.Accounts[i].Name] {
			part.Accounts = append(part.Accounts, d.Accounts[i])
		}
	}
	part.Accounts = sortedAccounts(&part)
	text, err := part.Format()
	if err != nil {
		return nil
	}
	return text
}

func shorten(s string, n int) string {
	r := []rune(s)
	if len(r) <= n {
		return s
	}
	return string(r[:n]) + "…"
}
