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
	// maxDiffBytes is the size of the text diff that a preview shows.
	maxDiffBytes = 8 << 10
	// maxEffectChars is the length of one effect line, and maxEffectsBytes the size
	// of all of them.
	maxEffectChars  = 300
	maxEffectsBytes = 8 << 10
	// historySearchLimit is the number of newest changes that are searched for those
	// after the base revision of an edit.
	historySearchLimit = 100
)

// postedEdit is an edit that an operator posted with a form.
type postedEdit struct {
	form   string
	entry  string
	base   uint64
	id     string
	values values
	editor editor
}

// reservedFields are the names of posted fields that are not values of the entry.
var reservedFields = []string{"base", "csrf", "entry", "form", "id"}

// readPostedEdit returns the edit in the fields of a posted form.
func readPostedEdit(v *pageRequest) (postedEdit, error) {
	in := postedEdit{form: v.PostForm("form"), entry: v.PostForm("entry"), id: v.PostForm("id"), values: values{}}
	var ok bool
	if in.editor, ok = editors[in.form]; !ok {
		return in, &inputError{problem: "the form does not exist; open one from the lists"}
	}
	var err error
	if in.base, err = strconv.ParseUint(v.PostForm("base"), 10, 64); err != nil {
		return in, &inputError{problem: "the form has no base revision; open it again"}
	}
	v.PostArgs().VisitAll(func(k, value []byte) {
		if name := string(k); !slices.Contains(reservedFields, name) {
			in.values[name] = append(in.values[name], string(value))
		}
	})
	return in, nil
}

// hiddenField is a hidden input of a form.
type hiddenField struct{ Name, Value string }

func (in postedEdit) hiddenFields() []hiddenField {
	var out []hiddenField
	for name, list := range in.values {
		for _, v := range list {
			out = append(out, hiddenField{name, v})
		}
	}
	slices.SortStableFunc(out, func(a, b hiddenField) int { return strings.Compare(a.Name, b.Name) })
	return out
}

type editBody struct {
	Form   string
	Entry  string
	Base   uint64
	Back   string
	Fields []field
	Faults []config.Fault
	// Removable reports whether the entry can be removed.
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

// editPost shows a form again with the values that were posted.
func (f *Forms) editPost(_ context.Context, v *pageRequest) {
	in, err := readPostedEdit(v)
	if err != nil {
		f.showError(v, err)
		return
	}
	f.showEdit(v, http.StatusOK, in, nil)
}

func (f *Forms) showEdit(v *pageRequest, status int, in postedEdit, faults []config.Fault) {
	_, d := f.backend.Document()
	fields, ok := in.editor.fields(d, in.entry)
	if !ok {
		fields, _ = in.editor.fields(d, "")
	}
	if in.form == "raw" && len(fields) == 0 {
		fields = []field{{Name: "toml", Label: "Text", Kind: tomlField}, {Name: "held", Kind: "hidden"}}
	}
	for i := range fields {
		fields[i].Values = in.values[fields[i].Name]
	}
	shown := faults[:min(maxShownItems, len(faults))]
	f.showPage(v, status, "edit", in.editor.title(in.entry), editBody{
		Form: in.form, Entry: in.entry, Base: in.base, Back: in.editor.listPath(), Fields: fields, Faults: shown,
		Removable: in.entry != "" && in.form != "raw" && in.form != "limits",
	})
}

type previewBody struct {
	Form  string
	Entry string
	// Base is the revision against which the preview is made and committed.
	Base     uint64
	Opened   uint64
	ID       string
	Pairs    []hiddenField
	Effects  []string
	More     int
	Warnings []config.Fault
	Diff     []diffLine
	// Cut reports that Diff has been truncated.
	Cut bool
	// Others are the changes by other commits since the form was opened.
	Others []opapi.Change
	// Conflict is set if the commit was rejected because of another change.
	Conflict *opapi.ConflictError
	Back     string
}

type diffLine struct {
	Class string
	Text  string
}

func (f *Forms) previewPost(ctx context.Context, v *pageRequest) {
	in, err := readPostedEdit(v)
	if err != nil {
		f.showError(v, err)
		return
	}
	f.preview(ctx, v, in, nil)
}

// applyEdit returns the document with the edit applied. If that is not valid, it
// shows the form with the faults and returns false.
func (f *Forms) applyEdit(v *pageRequest, in postedEdit, current *config.Document) (*config.Document, bool) {
	next, faults := in.editor.apply(current, in.entry, in.values)
	if len(faults) == 0 {
		faults = next.Check()
	}
	if len(faults) > 0 {
		f.showEdit(v, http.StatusUnprocessableEntity, in, withAccountNames(next, faults))
		return nil, false
	}
	return next, true
}

// preview shows what an edit changes in the document in force. The commit that the
// page offers is based on that revision, so that it conflicts with any later
// change.
func (f *Forms) preview(ctx context.Context, v *pageRequest, in postedEdit, conflict *opapi.ConflictError) {
	revision, current := f.backend.Document()
	next, ok := f.applyEdit(v, in, current)
	if !ok {
		return
	}
	effects := config.Diff(current, next)
	b := previewBody{
		Form: in.form, Entry: in.entry, Base: revision, Opened: in.base, ID: uuid.NewString(), Pairs: in.hiddenFields(),
		Conflict: conflict, Back: in.editor.listPath(),
	}
	warnings := newWarnings(current, next)
	b.Warnings = warnings[:min(maxShownItems, len(warnings))]
	b.Effects, b.More = effectLines(effects)
	b.Diff, b.Cut = textDiff(current, next, effects)
	var err error
	if in.base < revision {
		b.Others, err = f.changesSince(ctx, in.base)
	}
	status := http.StatusOK
	if conflict != nil {
		status = http.StatusConflict
	}
	f.showPage(v, status, "preview", "Preview", b, withNotice(err))
}

// effectLines returns the lines of the first effects, and the number of effects
// that were left out.
func effectLines(effects []config.Effect) ([]string, int) {
	var out []string
	size := 0
	for _, e := range effects {
		l := truncate(e.String(), maxEffectChars)
		if size += len(l); size > maxEffectsBytes || len(out) == maxShownItems {
			break
		}
		out = append(out, l)
	}
	return out, len(effects) - len(out)
}

// changesSince returns the changes after the base revision.
func (f *Forms) changesSince(ctx context.Context, base uint64) ([]opapi.Change, error) {
	changes, err := f.backend.History(ctx, historySearchLimit)
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
	in, err := readPostedEdit(v)
	if err == nil && !changeIDPattern.MatchString(in.id) {
		err = &inputError{problem: "the form has no valid change ID; open it again"}
	}
	if err != nil {
		f.showError(v, err)
		return
	}
	_, current := f.backend.Document()
	next, ok := f.applyEdit(v, in, current)
	if !ok {
		return
	}
	revision, err := f.commit(ctx, in.base, next, in.id, v.session.author)
	var conflict *opapi.ConflictError
	var unknown *opapi.UnknownOutcomeError
	b := changeBody{Revision: revision, previewBody: previewBody{
		Form: in.form, Entry: in.entry, Base: in.base, ID: in.id, Pairs: in.hiddenFields(), Back: in.editor.listPath(),
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

// newWarnings returns the warnings about the next document that the current one
// does not have.
func newWarnings(current, next *config.Document) []config.Fault {
	known := map[string]bool{}
	for _, w := range current.Warnings() {
		known[w.Problem] = true
	}
	return slices.DeleteFunc(next.Warnings(), func(w config.Fault) bool { return known[w.Problem] })
}

var accountKeyPattern = regexp.MustCompile(`^account\[(\d+)\]`)

// withAccountNames replaces the positions of accounts in fault keys with their names,
// because a form does not show positions.
func withAccountNames(d *config.Document, faults []config.Fault) []config.Fault {
	out := slices.Clone(faults)
	for i := range out {
		m := accountKeyPattern.FindStringSubmatch(out[i].Key)
		if m == nil || d == nil {
			continue
		}
		if n, err := strconv.Atoi(m[1]); err == nil && n < len(d.Accounts) {
			out[i].Key = "account " + d.Accounts[n].Name + strings.TrimPrefix(out[i].Key, m[0])
		}
	}
	return out
}

// textDiff returns a diff of the document text, and whether it has been truncated.
// It formats only the accounts that changed and everything but the accounts:
// formatting a whole document of 10,000 accounts takes too long.
func textDiff(a, b *config.Document, effects []config.Effect) ([]diffLine, bool) {
	changed := map[string]bool{}
	for _, e := range effects {
		if e.Kind == config.AccountEffect {
			changed[e.Name] = true
		}
	}
	old, new := changedText(a, changed), changedText(b, changed)
	out := diff.Diff("in force", old, "after the change", new)
	cut := len(out) > maxDiffBytes
	if cut {
		out = out[:bytes.LastIndexByte(out[:maxDiffBytes], '\n')+1]
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

func changedText(d *config.Document, changed map[string]bool) []byte {
	part := *d
	part.Accounts = nil
	for i := range d.Accounts {
		if changed[d.Accounts[i].Name] {
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

func truncate(s string, n int) string {
	r := []rune(s)
	if len(r) <= n {
		return s
	}
	return string(r[:n]) + "…"
}
