package forms

import (
	"slices"
	"strings"

	"sesamehill.example/sesamehill/pkg/config"
)

// edit is one kind of form: it shows a part of a document and changes it.
type edit interface {
	// title names the form.
	title(name string) string
	// fields returns the inputs for the entry of that name; an unknown or empty
	// name stands for a new entry. ok is false if there is no such entry.
	fields(d *config.Document, name string) (list []field, ok bool)
	// apply returns a changed copy of the document and the faults of the values.
	apply(d *config.Document, name string, v values) (*config.Document, []config.Fault)
	// back is the path of the page that lists the entries.
	back() string
}

// edits are the forms by the name in their path.
var edits = map[string]edit{
	"account": accountEdit{},
	"model":   modelEdit{},
	"service": serviceEdit{},
	"region":  regionEdit{},
	"link":    linkEdit{},
	"limits":  limitsEdit{},
	"raw":     rawEdit{},
}

// removed is the value of the field "op" that removes an entry.
const removed = "remove"

// span returns the bounds of the entry that an edit replaces: none, at the end,
// if there is no such entry yet.
func span(at, length int) (from, to int) {
	if at < 0 {
		return length, length
	}
	return at, at + 1
}

type accountEdit struct{}

func (accountEdit) title(name string) string { return titled("account", name) }
func (accountEdit) back() string             { return "/accounts" }

func accountAt(d *config.Document, name string) int {
	return slices.IndexFunc(d.Accounts, func(a config.Account) bool { return a.Name == name })
}

func (accountEdit) fields(d *config.Document, name string) ([]field, bool) {
	a := config.Account{Rate: 1, Concurrency: 1}
	at := accountAt(d, name)
	if at >= 0 {
		a = d.Accounts[at]
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
		entryName(a.Name, at),
		choice("models", "Models", "Models that the account may use.", a.Models, models),
		choice("services", "Plain services", "Services that the account may call.", a.Services, services),
		number("rate", "Rate", "Requests a second over all hosts.", a.Rate),
		number("concurrency", "Concurrency", "Requests in flight over all hosts.", a.Concurrency),
		number("priority", "Priority", "Order at the engines; higher goes first.", a.Priority),
		choice("regions", "Regions of kept state", "Where kept prompt state may live; none chosen means everywhere.", a.Regions, regions),
		choice("zones", "Zones of kept state", "None chosen means every zone of the regions.", a.Zones, zones),
		lines("stores", "Stores of kept state", "One name a line; empty means every store.", a.Stores),
		lines("keys", "Key hashes", "One hash a line, as \"sesamectl keys\" prints it; never the key itself.", a.Keys),
	}, name == "" || at >= 0
}

func (accountEdit) apply(d *config.Document, name string, v values) (*config.Document, []config.Fault) {
	out := *d
	from, to := span(accountAt(d, name), len(d.Accounts))
	if v.get("op") == removed {
		out.Accounts = slices.Concat(d.Accounts[:from], d.Accounts[to:])
		return &out, nil
	}
	r := reader{values: v}
	out.Accounts = slices.Concat(d.Accounts[:from], []config.Account{{
		Name: v.get("name"), Keys: v.list("keys"), Models: v.list("models"), Services: v.list("services"),
		Rate: r.number("rate"), Concurrency: r.whole("concurrency"), Priority: r.whole("priority"),
		Regions: v.list("regions"), Zones: v.list("zones"), Stores: v.list("stores"),
	}}, d.Accounts[to:])
	return &out, r.faults
}

type modelEdit struct{}

func (modelEdit) title(name string) string { return titled("model", name) }
func (modelEdit) back() string             { return "/models" }

func modelAt(d *config.Document, name string) int {
	return slices.IndexFunc(d.Models, func(m config.Model) bool { return m.Name == name })
}

func (modelEdit) fields(d *config.Document, name string) ([]field, bool) {
	m := config.Model{MaxConcurrentLoads: 1}
	at := modelAt(d, name)
	if at >= 0 {
		m = d.Models[at]
	}
	return []field{
		entryName(m.Name, at),
		text("version", "Weight version", "New requests use this version; a change starts the rollout.", m.Version),
		lines("adapters", "Adapters", "One name a line.", m.Adapters),
		number("loads", "Loads at once", "Largest number of targets that load weights at once.", m.MaxConcurrentLoads),
		lines("targets", "Targets", "Engines that serve the model, one a line; empty means all.", m.Targets),
	}, name == "" || at >= 0
}

func (modelEdit) apply(d *config.Document, name string, v values) (*config.Document, []config.Fault) {
	out := *d
	from, to := span(modelAt(d, name), len(d.Models))
	if v.get("op") == removed {
		out.Models = slices.Concat(d.Models[:from], d.Models[to:])
		return &out, nil
	}
	r := reader{values: v}
	out.Models = slices.Concat(d.Models[:from], []config.Model{{
		Name: v.get("name"), Version: v.get("version"), Adapters: v.list("adapters"),
		MaxConcurrentLoads: r.whole("loads"), Targets: v.list("targets"),
	}}, d.Models[to:])
	return &out, r.faults
}

type serviceEdit struct{}

func (serviceEdit) title(name string) string { return titled("plain service", name) }
func (serviceEdit) back() string             { return "/services" }

func serviceAt(d *config.Document, name string) int {
	return slices.IndexFunc(d.Services, func(s config.Service) bool { return s.Name == name })
}

func (serviceEdit) fields(d *config.Document, name string) ([]field, bool) {
	var s config.Service
	at := serviceAt(d, name)
	if at >= 0 {
		s = d.Services[at]
	}
	var repeat, once []string
	for _, p := range s.Paths {
		if p.Idempotent {
			repeat = append(repeat, p.Prefix)
		} else {
			once = append(once, p.Prefix)
		}
	}
	return []field{
		entryName(s.Name, at),
		check("idempotent", "Calls may run more than once", "Leave off unless every call may be repeated.", s.Idempotent),
		lines("once", "Non-idempotent paths", "Path prefixes whose calls run at most once, one a line.", once),
		lines("repeat", "Idempotent paths", "Path prefixes whose calls may be repeated, one a line.", repeat),
	}, name == "" || at >= 0
}

func (serviceEdit) apply(d *config.Document, name string, v values) (*config.Document, []config.Fault) {
	out := *d
	at := serviceAt(d, name)
	from, to := span(at, len(d.Services))
	if v.get("op") == removed {
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
	if at >= 0 && sameSet(d.Services[at].Paths, s.Paths) {
		// The form groups paths; their order has no meaning.
		s.Paths = d.Services[at].Paths
	}
	out.Services = slices.Concat(d.Services[:from], []config.Service{s}, d.Services[to:])
	return &out, nil
}

func sameSet(a, b []config.Path) bool {
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

type regionEdit struct{}

func (regionEdit) title(name string) string { return titled("region", name) }
func (regionEdit) back() string             { return "/regions" }

func regionAt(d *config.Document, name string) int {
	return slices.IndexFunc(d.Regions, func(r config.Region) bool { return r.Name == name })
}

func (regionEdit) fields(d *config.Document, name string) ([]field, bool) {
	var r config.Region
	at := regionAt(d, name)
	if at >= 0 {
		r = d.Regions[at]
	}
	return []field{
		entryName(r.Name, at),
		lines("zones", "Availability zones", "One name a line.", r.Zones),
	}, name == "" || at >= 0
}

func (regionEdit) apply(d *config.Document, name string, v values) (*config.Document, []config.Fault) {
	out := *d
	from, to := span(regionAt(d, name), len(d.Regions))
	if v.get("op") == removed {
		out.Regions = slices.Concat(d.Regions[:from], d.Regions[to:])
		return &out, nil
	}
	out.Regions = slices.Concat(d.Regions[:from], []config.Region{{Name: v.get("name"), Zones: v.list("zones")}}, d.Regions[to:])
	return &out, nil
}

// linkEdit names a link "from/to".
type linkEdit struct{}

func (linkEdit) title(name string) string { return titled("link", name) }
func (linkEdit) back() string             { return "/regions" }

func linkName(l config.Link) string { return l.From + "/" + l.To }

func linkAt(d *config.Document, name string) int {
	return slices.IndexFunc(d.Links, func(l config.Link) bool { return linkName(l) == name })
}

func (linkEdit) fields(d *config.Document, name string) ([]field, bool) {
	l := config.Link{RateMbps: 1}
	at := linkAt(d, name)
	if at >= 0 {
		l = d.Links[at]
	}
	from, to := text("from", "From", "Region.", l.From), text("to", "To", "Region.", l.To)
	from.Fixed, to.Fixed = at >= 0, at >= 0
	return []field{
		from, to,
		number("rate", "Rate", "Mbit/s each way.", l.RateMbps),
		text("delay", "Delay", "One way, such as 20ms.", l.Delay.AsDuration().String()),
	}, name == "" || at >= 0
}

func (linkEdit) apply(d *config.Document, name string, v values) (*config.Document, []config.Fault) {
	out := *d
	from, to := span(linkAt(d, name), len(d.Links))
	if v.get("op") == removed {
		out.Links = slices.Concat(d.Links[:from], d.Links[to:])
		return &out, nil
	}
	r := reader{values: v}
	out.Links = slices.Concat(d.Links[:from], []config.Link{{
		From: v.get("from"), To: v.get("to"), RateMbps: r.number("rate"), Delay: r.span("delay"),
	}}, d.Links[to:])
	return &out, r.faults
}

type limitsEdit struct{}

func (limitsEdit) title(string) string { return "Limits and weights" }
func (limitsEdit) back() string        { return "/" }

func (limitsEdit) fields(d *config.Document, _ string) ([]field, bool) {
	return []field{
		number("body", "Largest body", "Bytes of a request.", d.Limits.Body),
		number("prompt", "Largest prompt", "Tokens.", d.Limits.Prompt),
		number("queue", "Queue", "Requests that may wait at one host.", d.Limits.QueueLength),
		text("wait", "Longest wait", "Until a target takes a request, such as 20s.", d.Limits.MaxWait.AsDuration().String()),
		number("first", "Weight of time to first token", "Cost of one second.", d.Weights.FirstToken),
		number("recompute", "Weight of recomputation", "Cost of 1,000 recomputed tokens.", d.Weights.Recompute),
		number("bytes", "Weight of link traffic", "Cost of one MB between regions.", d.Weights.LinkTraffic),
	}, true
}

func (limitsEdit) apply(d *config.Document, _ string, v values) (*config.Document, []config.Fault) {
	out := *d
	r := reader{values: v}
	out.Limits = config.Limits{Body: r.whole("body"), Prompt: r.whole("prompt"), QueueLength: r.whole("queue"), MaxWait: r.span("wait")}
	out.Weights = config.Weights{FirstToken: r.number("first"), Recompute: r.number("recompute"), LinkTraffic: r.number("bytes")}
	return &out, r.faults
}

// entryName is the field of an entry's name; the name of an existing entry is
// fixed, because a new name is a removal and an addition.
func entryName(name string, at int) field {
	f := text("name", "Name", "Letters, digits, dots, hyphens and underscores.", name)
	f.Fixed = at >= 0
	return f
}

func titled(kind, name string) string {
	if name == "" {
		return "New " + kind
	}
	return strings.ToUpper(kind[:1]) + kind[1:] + " " + name
}
