package host

import (
	"slices"
	"time"

	"sesamehill.example/sesamehill/pkg/config"
)

// activeDocument is one revision of the configuration document with the lookup maps that
// requests need. It is immutable, so a request sees one revision throughout.
type activeDocument struct {
	revision uint64
	document *config.Document
	// activatedAt is the local time at which this host activated the revision.
	activatedAt   time.Time
	accountsByKey map[string]*config.Account
	accounts      map[string]*config.Account
	models        map[string]*config.Model
	services      map[string]*config.Service
}

func newActiveDocument(revision uint64, d *config.Document) *activeDocument {
	f := &activeDocument{
		revision:      revision,
		activatedAt:   time.Now(),
		document:      d,
		accountsByKey: make(map[string]*config.Account, len(d.Accounts)),
		accounts:      make(map[string]*config.Account, len(d.Accounts)),
		models:        make(map[string]*config.Model, len(d.Models)),
		services:      make(map[string]*config.Service, len(d.Services)),
	}
	for i := range d.Accounts {
		a := &d.Accounts[i]
		f.accounts[a.Name] = a
		for _, k := range a.Keys {
			f.accountsByKey[k] = a
		}
	}
	for i := range d.Models {
		f.models[d.Models[i].Name] = &d.Models[i]
	}
	for i := range d.Services {
		f.services[d.Services[i].Name] = &d.Services[i]
	}
	return f
}

// activate makes a document the configuration of new requests.
func (h *Host) activate(revision uint64, d *config.Document) {
	h.admission.setAccounts(d.Accounts)
	h.links.apply(h.settings.Region, d, time.Now())
	h.document.Store(newActiveDocument(revision, d))
}

// model returns a model that the account may use, or nil.
func (f *activeDocument) model(account, name string) *config.Model {
	a := f.accounts[account]
	if a == nil || !slices.Contains(a.Models, name) {
		return nil
	}
	return f.models[name]
}

// service returns a service that the account may use, or nil.
func (f *activeDocument) service(account, name string) *config.Service {
	a := f.accounts[account]
	if a == nil || !slices.Contains(a.Services, name) {
		return nil
	}
	return f.services[name]
}
