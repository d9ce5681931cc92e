package forms

import (
	"slices"
	"strings"

	"sesamehill.example/sesamehill/pkg/config"
)

// editor is one kind of form: it shows one entry or section of a document and
// applies the posted changes to it.
type editor interface {
	// title returns the page title of the form.
	title(name string) string
	// fields returns the inputs for the named entry. For an empty or unknown name
	// it returns the inputs of a new entry; ok is false if the name is unknown.
	fields(d *config.Document, name string) (list []field, ok bool)
	// apply returns a changed copy of the document, and the faults in the posted
	// values.
	apply(d *config.Document, name string, v values) (*config.Document, []config.Fault)
	// listPath returns the path of the page that lists the entries.
	listPath() string
}

// editors maps the "form" parameter of a request to the editor.
var editors = map[string]editor{
	"account": accountEditor{},
	"model":   modelEditor{},
	"service": serviceEditor{},
	"region":  regionEditor{},
	"link":    linkEditor{},
	"limits":  limitsEditor{},
	"raw":     rawEditor{},
}

// opRemove is the value of the posted field "op" that removes an entry.
const opRemove = "remove"

// replacedRange returns the slice bounds of the entry that an edit replaces. If
// there is no such entry yet, they are the empty range at the end of the list.
func replacedRange(index, length int) (from, to int) {
	if index < 0 {
		return length, length
	}
	return index, index + 1
}

type accountEditor struct{}

func (accountEditor) title(name string) string { return formTitle("account", name) }
func (accountEditor) listPath() string         { return "/accounts" }

func accountIndex(d *config.Document, name string) int {
	return slices.IndexFunc(d.Accounts, func(a config.Account) bool { return a.Name == name })
}

func (accountEditor) fields(d *config.Document, name string) ([]field, bool) {
	a := config.Account{Rate: 1, Concurrency: 1}
	index := accountIndex(d, name)
	if index >= 0 {
		a = d.Accounts[index]
	}
	var models, services, regions, zones []string
	for _, m := range d.Models {
		models = append(models, m.Name)
	}
	for _, s := range d.Services {
		services = append(services, s.Name)
	}
	for _, r := range d.Regions {
		regions = append(regions, r.Name)
		zones = append(zones, r.Zones...)
	}
	return []field{
		nameInput(a.Name, index),
		choiceInput("models", "Models", "Models that the account may use.", a.Models, models),
		choiceInput("services", "Plain services", "Services that the account may call.", a.Services, services),
		numberInput("rate", "Rate", "Requests a second over all hosts.", a.Rate),
		numberInput("concurrency", "Concurrency", "Requests in flight over all hosts.", a.Concurrency),
		numberInput("priority", "Priority", "Order at the engines; higher goes first.", a.Priority),
		choiceInput("regions", "Regions of stored KV cache", "Where the account's KV cache may be stored; none chosen means everywhere.", a.Regions, regions),
		choiceInput("zones", "Zones of stored KV cache", "None chosen means every zone of the regions.", a.Zones, zones),
		linesInput("stores", "Stores of KV cache", "One name a line; empty means every store.", a.Stores),
		linesInput("keys", "Key hashes", "One hash a line, as \"sesamectl keys\" prints it; never the key itself.", a.Keys),
	}, name == "" || index >= 0
}

func (accountEditor) apply(d *config.Document, name string, v values) (*config.Document, []config.Fault) {
	out := *d
	from, to := replacedRange(accountIndex(d, name), len(d.Accounts))
	if v.get("op") == opRemove {
		out.Accounts = slices.Concat(d.Accounts[:from], d.Accounts[to:])
		return &out, nil
	}
	r := valueParser{values: v}
	out.Accounts = slices.Concat(d.Accounts[:from], []config.Account{{
		Name: v.get("name"), Keys: v.list("keys"), Models: v.list("models"), Services: v.list("services"),
		Rate: r.float("rate"), Concurrency: r.integer("concurrency"), Priority: r.integer("priority"),
		Regions: v.list("regions"), Zones: v.list("zones"), Stores: v.list("stores"),
	}}, d.Accounts[to:])
	return &out, r.faults
}

type modelEditor struct{}

func (modelEditor) title(name string) string { return formTitle("model", name) }
func (modelEditor) listPath() string         { return "/models" }

func modelIndex(d *config.Document, name string) int {
	return slices.IndexFunc(d.Models, func(m config.Model) bool { return m.Name == name })
}

func (modelEditor) fields(d *config.Document, name string) ([]field, bool) {
	m := config.Model{MaxConcurrentLoads: 1}
	index := modelIndex(d, name)
	if index >= 0 {
		m = d.Models[index]
	}
	return []field{
		nameInput(m.Name, index),
		textInput("version", "Weight version", "New requests use this version; a change starts the rollout.", m.Version),
		linesInput("adapters", "Adapters", "One name a line.", m.Adapters),
		numberInput("loads", "Loads at once", "Largest number of targets that load weights at once.", m.MaxConcurrentLoads),
		linesInput("targets", "Targets", "Engines that serve the model, one a line; empty means all.", m.Targets),
	}, name == "" || index >= 0
}

func (modelEditor) apply(d *config.Document, name string, v values) (*config.Document, []config.Fault) {
	out := *d
	from, to := replacedRange(modelIndex(d, name), len(d.Models))
	if v.get("op") == opRemove {
		out.Models = slices.Concat(d.Models[:from], d.Models[to:])
		return &out, nil
	}
	r := valueParser{values: v}
	out.Models = slices.Concat(d.Models[:from], []config.Model{{
		Name: v.get("name"), Version: v.get("version"), Adapters: v.list("adapters"),
		MaxConcurrentLoads: r.integer("loads"), Targets: v.list("targets"),
	}}, d.Models[to:])
	return &out, r.faults
}

type serviceEditor struct{}

func (serviceEditor) title(name string) string { return formTitle("plain service", name) }
func (serviceEditor) listPath() string         { return "/services" }

func serviceIndex(d *config.Document, name string) int {
	return slices.IndexFunc(d.Services, func(s config.Service) bool { return s.Name == name })
}

func (serviceEditor) fields(d *config.Document, name string) ([]field, bool) {
	var s config.Service
	index := serviceIndex(d, name)
	if index >= 0 {
		s = d.Services[index]
	}
	var idempotent, atMostOnce []string
	for _, p := range s.Paths {
		if p.Idempotent {
			idempotent = append(idempotent, p.Prefix)
		} else {
			atMostOnce = append(atMostOnce, p.Prefix)
		}
	}
	return []field{
		nameInput(s.Name, index),
		checkInput("idempotent", "Calls may run more than once", "Leave off unless every call may be repeated.", s.Idempotent),
		linesInput("once", "Non-idempotent paths", "Path prefixes whose calls run at most once, one a line.", atMostOnce),
		linesInput("repeat", "Idempotent paths", "Path prefixes whose calls may be repeated, one a line.", idempotent),
	}, name == "" || index >= 0
}

func (serviceEditor) apply(d *config.Document, name string, v values) (*config.Document, []config.Fault) {
	out := *d
	index := serviceIndex(d, name)
	from, to := replacedRange(index, len(d.Services))
	if v.get("op") == opRemove {
		out.Services = slices.Concat(d.Services[:from], d.Services[to:])
		return &out, nil
	}
	s := config.Service{Name: v.get("name"), Idempotent: v.get("idempotent") == "on"}
	for _, p := range v.list("once") {
		s.Paths = append(s.Paths, config.Path{Prefix: p})
	}
	for _, p := range v.list("repeat") {
		s.Paths = append(s.Paths, config.Path{Prefix: p, Idempotent: true})
	}
	if index >= 0 && samePaths(d.Services[index].Paths, s.Paths) {
		// The form groups paths by idempotency. Their order has no meaning, so an
		// unchanged set keeps the order of the document.
		s.Paths = d.Services[index].Paths
	}
	out.Services = slices.Concat(d.Services[:from], []config.Service{s}, d.Services[to:])
	return &out, nil
}

func samePaths(a, b []config.Path) bool {
	if len(a) != len(b) {
		return false
	}
	for _, p := range a {
		if !slices.Contains(b, p) {
			return false
		}
	}
	return true
}

type regionEditor struct{}

func (regionEditor) title(name string) string { return formTitle("region", name) }
func (regionEditor) listPath() string         { return "/regions" }

func regionIndex(d *config.Document, name string) int {
	return slices.IndexFunc(d.Regions, func(r config.Region) bool { return r.Name == name })
}

func (regionEditor) fields(d *config.Document, name string) ([]field, bool) {
	var r config.Region
	index := regionIndex(d, name)
	if index >= 0 {
		r = d.Regions[index]
	}
	return []field{
		nameInput(r.Name, index),
		linesInput("zones", "Availability zones", "One name a line.", r.Zones),
	}, name == "" || index >= 0
}

func (regionEditor) apply(d *config.Document, name string, v values) (*config.Document, []config.Fault) {
	out := *d
	from, to := replacedRange(regionIndex(d, name), len(d.Regions))
	if v.get("op") == opRemove {
		out.Regions = slices.Concat(d.Regions[:from], d.Regions[to:])
		return &out, nil
	}
	out.Regions = slices.Concat(d.Regions[:from], []config.Region{{Name: v.get("name"), Zones: v.list("zones")}}, d.Regions[to:])
	return &out, nil
}

// linkEditor edits links; the name of a link entry is "from/to".
type linkEditor struct{}

func (linkEditor) title(name string) string { return formTitle("link", name) }
func (linkEditor) listPath() string         { return "/regions" }

func linkName(l config.Link) string { return l.From + "/" + l.To }

func linkIndex(d *config.Document, name string) int {
	return slices.IndexFunc(d.Links, func(l config.Link) bool { return linkName(l) == name })
}

func (linkEditor) fields(d *config.Document, name string) ([]field, bool) {
	l := config.Link{RateMbps: 1}
	index := linkIndex(d, name)
	if index >= 0 {
		l = d.Links[index]
	}
	from, to := textInput("from", "From", "Region.", l.From), textInput("to", "To", "Region.", l.To)
	from.Fixed, to.Fixed = index >= 0, index >= 0
	return []field{
		from, to,
		numberInput("rate", "Rate", "Mbit/s each way.", l.RateMbps),
		textInput("delay", "Delay", "One way, such as 20ms.", l.Delay.AsDuration().String()),
	}, name == "" || index >= 0
}

func (linkEditor) apply(d *config.Document, name string, v values) (*config.Document, []config.Fault) {
	out := *d
	from, to := replacedRange(linkIndex(d, name), len(d.Links))
	if v.get("op") == opRemove {
		out.Links = slices.Concat(d.Links[:from], d.Links[to:])
		return &out, nil
	}
	r := valueParser{values: v}
	out.Links = slices.Concat(d.Links[:from], []config.Link{{
		From: v.get("from"), To: v.get("to"), RateMbps: r.float("rate"), Delay: r.duration("delay"),
	}}, d.Links[to:])
	return &out, r.faults
}

type limitsEditor struct{}

func (limitsEditor) title(string) string { return "Limits and weights" }
func (limitsEditor) listPath() string    { return "/" }

func (limitsEditor) fields(d *config.Document, _ string) ([]field, bool) {
	return []field{
		numberInput("body", "Largest body", "Bytes of a request.", d.Limits.Body),
		numberInput("prompt", "Largest prompt", "Tokens.", d.Limits.Prompt),
		numberInput("queue", "Queue", "Requests that may wait at one host.", d.Limits.QueueLength),
		textInput("wait", "Longest wait", "Until a target takes a request, such as 20s.", d.Limits.MaxWait.AsDuration().String()),
		numberInput("first", "Weight of time to first token", "Cost of one second.", d.Weights.FirstToken),
		numberInput("recompute", "Weight of recomputation", "Cost of 1,000 recomputed tokens.", d.Weights.Recompute),
		numberInput("bytes", "Weight of link traffic", "Cost of one MB between regions.", d.Weights.LinkTraffic),
	}, true
}

func (limitsEditor) apply(d *config.Document, _ string, v values) (*config.Document, []config.Fault) {
	out := *d
	r := valueParser{values: v}
	out.Limits = config.Limits{Body: r.integer("body"), Prompt: r.integer("prompt"), QueueLength: r.integer("queue"), MaxWait: r.duration("wait")}
	out.Weights = config.Weights{FirstToken: r.float("first"), Recompute: r.float("recompute"), LinkTraffic: r.float("bytes")}
	return &out, r.faults
}

// nameInput returns the input for an entry's name. The name of an existing entry
// is read-only, because renaming means removing one entry and adding another.
func nameInput(name string, index int) field {
	f := textInput("name", "Name", "Letters, digits, dots, hyphens and underscores.", name)
	f.Fixed = index >= 0
	return f
}

func formTitle(kind, name string) string {
	if name == "" {
		return "New " + kind
	}
	return strings.ToUpper(kind[:1]) + kind[1:] + " " + name
}
