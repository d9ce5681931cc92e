package config

import (
	"fmt"
	"time"
)

const (
	// recommendedMaxWait is the wait above which callers commonly time out and
	// retry.
	recommendedMaxWait = Duration(time.Minute)
	// recommendedMaxLoads is the number of concurrent weight loads above which loads
	// slow each other down in both reference deployments.
	recommendedMaxLoads = 3
)

// Warnings returns a fault for each value that is valid but dangerous.
func (d *Document) Warnings() []Fault {
	var warnings []Fault
	warn := func(key, problem, remedy string) {
		warnings = append(warnings, Fault{Key: key, Problem: problem, Remedy: remedy})
	}
	if d.Weights.LinkTraffic == 0 && len(d.Regions) > 1 {
		warn("weights.bytes", "is 0, so paid traffic between regions counts as free", "give the cost of one MB")
	}
	if d.Limits.QueueLength == 0 {
		warn("limits.queue", "is 0, so every request is refused while all targets are busy", "allow some requests to wait")
	}
	if d.Limits.MaxWait > recommendedMaxWait {
		warn("limits.wait", fmt.Sprintf("is %s; callers may time out and retry before that", d.Limits.MaxWait.AsDuration()),
			"use at most "+recommendedMaxWait.AsDuration().String())
	}
	linked := map[string]bool{}
	for _, l := range d.Links {
		linked[l.From], linked[l.To] = true, true
	}
	for i, r := range d.Regions {
		if len(d.Regions) > 1 && !linked[r.Name] {
			warn(fmt.Sprintf("region[%d]", i), fmt.Sprintf("region %q has no link, so its requests are never forwarded to another region", r.Name),
				"add a [[link]] if there is one")
		}
	}
	used := map[string]bool{}
	for i := range d.Accounts {
		a := &d.Accounts[i]
		if len(a.Keys) == 0 {
			warn(fmt.Sprintf("account[%d].keys", i), fmt.Sprintf("account %q has no key, so it cannot be used", a.Name), "add a key")
		}
		if len(a.Models) == 0 && len(a.Services) == 0 {
			warn(fmt.Sprintf("account[%d].models", i), fmt.Sprintf("account %q may use no model and no service", a.Name),
				"name at least one")
		}
		for _, m := range a.Models {
			used[m] = true
		}
	}
	for i, m := range d.Models {
		if !used[m.Name] {
			warn(fmt.Sprintf("model[%d]", i), fmt.Sprintf("no account may use model %q", m.Name), "add it to an account or remove it")
		}
		if m.MaxConcurrentLoads > recommendedMaxLoads {
			warn(fmt.Sprintf("model[%d].loads", i), fmt.Sprintf("is %d; concurrent loads slow each other down", m.MaxConcurrentLoads),
				fmt.Sprintf("use at most %d", recommendedMaxLoads))
		}
	}
	for i, s := range d.Services {
		if s.Idempotent {
			warn(fmt.Sprintf("service[%d].idempotent", i),
				fmt.Sprintf("calls of service %q may run more than once", s.Name), "set it only if every call is safe to repeat")
		}
		for j, p := range s.Paths {
			if p.Idempotent && p.Prefix == "/" {
				warn(fmt.Sprintf("service[%d].path[%d]", i, j),
					fmt.Sprintf("prefix / lets every call of service %q run more than once", s.Name), "name a longer prefix")
			}
		}
	}
	return warnings
}
