package config

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Bounds of a configuration document. They keep one section below the 64 KB limit
// of a message between hosts, and one request within the memory of a small host.
const (
	maxBodyBytes         = 64 << 20
	maxBlockTokens       = 1 << 20
	maxPriority          = 100
	maxAccountKeys       = 16
	maxAccountReferences = 256
	maxNameLength        = 63
	maxQueueLength       = 1 << 20
	maxPromptTokens      = 1 << 24
	maxLinkDelay         = Duration(10 * time.Second)
	maxWait              = Duration(10 * time.Minute)
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Check returns all faults of the document, with keys such as account[3].rate.
func (d *Document) Check() []Fault {
	c := checker{doc: d}
	c.checkDeployment()
	c.checkRegions()
	c.checkLinks()
	c.checkModels()
	c.checkServices()
	c.checkAccounts()
	return c.faults
}

// checker collects the faults of a configuration document or of settings. The maps
// hold the names that other entries may refer to.
type checker struct {
	doc        *Document
	faults     []Fault
	zoneRegion map[string]string // region name by zone name
	regions    map[string]bool
	models     map[string]bool
	services   map[string]bool
}

func (c *checker) addFault(key, problem, remedy string) {
	c.faults = append(c.faults, Fault{Key: key, Problem: problem, Remedy: remedy})
}

func (c *checker) checkDeployment() {
	d := c.doc
	c.checkName("deployment.name", d.Deployment.Name)
	c.checkInteger("deployment.piece", int64(d.Deployment.BlockTokens), 1, maxBlockTokens, "tokens")
	c.checkInteger("deployment.block", d.Deployment.BlockBytes, 1, math.MaxInt64, "bytes")
	c.checkWeight("weights.first", d.Weights.FirstToken)
	c.checkWeight("weights.recompute", d.Weights.Recompute)
	c.checkWeight("weights.bytes", d.Weights.LinkTraffic)
	if d.Weights == (Weights{}) {
		c.addFault("weights", "every weight is 0, so all placements cost the same", "give at least one weight above 0")
	}
	c.checkInteger("limits.body", int64(d.Limits.Body), 1, maxBodyBytes, "bytes")
	c.checkInteger("limits.prompt", int64(d.Limits.Prompt), 1, maxPromptTokens, "tokens")
	c.checkInteger("limits.queue", int64(d.Limits.QueueLength), 0, maxQueueLength, "requests")
	c.checkDuration("limits.wait", d.Limits.MaxWait, Duration(time.Millisecond), maxWait)
}

func (c *checker) checkRegions() {
	c.regions, c.zoneRegion = map[string]bool{}, map[string]string{}
	if len(c.doc.Regions) == 0 {
		c.addFault("region", "no region is listed", "add a [[region]] with its zones")
	}
	for i, r := range c.doc.Regions {
		key := fmt.Sprintf("region[%d]", i)
		c.checkUniqueName(key+".name", r.Name, c.regions)
		if len(r.Zones) == 0 {
			c.addFault(key+".zones", fmt.Sprintf("region %q has no zone", r.Name), "list its availability zones")
		}
		for j, z := range r.Zones {
			zoneKey := fmt.Sprintf("%s.zones[%d]", key, j)
			c.checkName(zoneKey, z)
			if other, ok := c.zoneRegion[z]; ok {
				c.addFault(zoneKey, fmt.Sprintf("zone %q is already in region %q", z, other), "list each zone once")
			}
			c.zoneRegion[z] = r.Name
		}
	}
}

func (c *checker) checkLinks() {
	seen := map[[2]string]bool{}
	for i, l := range c.doc.Links {
		key := fmt.Sprintf("link[%d]", i)
		c.checkReference(key+".from", "region", l.From, c.regions)
		c.checkReference(key+".to", "region", l.To, c.regions)
		pair := [2]string{min(l.From, l.To), max(l.From, l.To)}
		switch {
		case l.From == l.To:
			c.addFault(key+".to", fmt.Sprintf("the link connects region %q to itself", l.To), "name two regions")
		case seen[pair]:
			c.addFault(key, fmt.Sprintf("regions %q and %q already have a link", l.From, l.To),
				"keep one; its rate applies in each direction")
		}
		seen[pair] = true
		c.checkPositive(key+".rate", l.RateMbps, "Mbit/s")
		c.checkDuration(key+".delay", l.Delay, 0, maxLinkDelay)
	}
}

func (c *checker) checkModels() {
	c.models = map[string]bool{}
	for i, m := range c.doc.Models {
		key := fmt.Sprintf("model[%d]", i)
		c.checkUniqueName(key+".name", m.Name, c.models)
		c.checkName(key+".version", m.Version)
		c.checkNames(key+".adapters", m.Adapters)
		c.checkNames(key+".targets", m.Targets)
		c.checkInteger(key+".loads", int64(m.MaxConcurrentLoads), 1, math.MaxInt32, "targets")
	}
}

func (c *checker) checkServices() {
	c.services = map[string]bool{}
	for i, s := range c.doc.Services {
		key := fmt.Sprintf("service[%d]", i)
		c.checkUniqueName(key+".name", s.Name, c.services)
		seen := map[string]bool{}
		for j, p := range s.Paths {
			prefixKey := fmt.Sprintf("%s.path[%d].prefix", key, j)
			if !strings.HasPrefix(p.Prefix, "/") {
				c.addFault(prefixKey, fmt.Sprintf("%q does not start with a slash", p.Prefix), `give a path such as "/status"`)
			}
			if seen[p.Prefix] {
				c.addFault(prefixKey, fmt.Sprintf("prefix %q is listed twice", p.Prefix), "keep one entry for each prefix")
			}
			seen[p.Prefix] = true
		}
	}
}

func (c *checker) checkAccounts() {
	if len(c.doc.Accounts) == 0 {
		c.addFault("account", "no client account is listed", "add an [[account]]")
	}
	seen := make(map[string]bool, len(c.doc.Accounts))
	owners := make(map[string]string, len(c.doc.Accounts))
	for i := range c.doc.Accounts {
		a := &c.doc.Accounts[i]
		firstFault := len(c.faults)
		c.checkAccount(a, seen, owners)
		// Key paths are built only for faults, because 10,000 accounts have 100,000
		// keys.
		for j := firstFault; j < len(c.faults); j++ {
			c.faults[j].Key = fmt.Sprintf("account[%d].%s", i, c.faults[j].Key)
		}
	}
}

func (c *checker) checkAccount(a *Account, seen map[string]bool, owners map[string]string) {
	c.checkUniqueName("name", a.Name, seen)
	for i, k := range a.Keys {
		owner, taken := owners[k]
		switch {
		case !IsKeyHash(k) || strings.ToLower(k) != k:
			c.addFault(fmt.Sprintf("keys[%d]", i), fmt.Sprintf("is not the hash of a key (account %q)", a.Name),
				`give "blake3:" and 64 lower-case hexadecimal digits, as "sesamectl keys" prints them; never the key itself`)
		case taken:
			c.addFault(fmt.Sprintf("keys[%d]", i), fmt.Sprintf("accounts %q and %q have the same key", owner, a.Name),
				"give each account its own keys")
		}
		owners[k] = a.Name
	}
	if len(a.Keys) > maxAccountKeys {
		c.addFault("keys", fmt.Sprintf("account %q has %d keys", a.Name, len(a.Keys)),
			fmt.Sprintf("keep at most %d", maxAccountKeys))
	}
	c.checkReferences("models", "model", a.Models, c.models)
	c.checkReferences("services", "service", a.Services, c.services)
	c.checkReferences("regions", "region", a.Regions, c.regions)
	c.checkPositive("rate", a.Rate, "requests a second")
	c.checkInteger("concurrency", int64(a.Concurrency), 1, math.MaxInt32, "requests")
	c.checkInteger("priority", int64(a.Priority), -maxPriority, maxPriority, "")
	c.checkNames("stores", a.Stores)
	for i, z := range a.Zones {
		region, ok := c.zoneRegion[z]
		key := fmt.Sprintf("zones[%d]", i)
		switch {
		case !ok:
			c.addFault(key, fmt.Sprintf("zone %q does not exist", z), "name a zone of a [[region]]")
		case len(a.Regions) > 0 && !slices.Contains(a.Regions, region):
			c.addFault(key, fmt.Sprintf("zone %q is in region %q, which the account's regions exclude", z, region),
				"add the region or remove the zone")
		}
	}
}

// checkName checks the form of a name.
func (c *checker) checkName(key, name string) {
	switch {
	case name == "":
		c.addFault(key, "is missing", "give a name")
	case len(name) > maxNameLength || !namePattern.MatchString(name):
		c.addFault(key, fmt.Sprintf("%q is not a valid name", name),
			fmt.Sprintf("use up to %d letters, digits, dots, hyphens and underscores; start with a letter or digit", maxNameLength))
	}
}

// checkUniqueName checks the name of an entry and adds it to seen.
func (c *checker) checkUniqueName(key, name string, seen map[string]bool) {
	c.checkName(key, name)
	if name != "" && seen[name] {
		c.addFault(key, fmt.Sprintf("name %q is used twice", name), "rename or remove one entry")
	}
	seen[name] = true
}

// checkNames checks a list of names for their form and for duplicates.
func (c *checker) checkNames(key string, names []string) {
	if len(names) == 0 {
		return
	}
	seen := make(map[string]bool, len(names))
	for i, n := range names {
		c.checkUniqueName(fmt.Sprintf("%s[%d]", key, i), n, seen)
	}
}

// checkReferences checks a list of names of entries that must exist.
func (c *checker) checkReferences(key, kind string, names []string, known map[string]bool) {
	if len(names) > maxAccountReferences {
		c.addFault(key, fmt.Sprintf("lists %d names", len(names)), fmt.Sprintf("keep at most %d", maxAccountReferences))
	}
	for i, n := range names {
		switch {
		case !known[n]:
			c.checkReference(fmt.Sprintf("%s[%d]", key, i), kind, n, known)
		case slices.Contains(names[:i], n):
			c.addFault(fmt.Sprintf("%s[%d]", key, i), fmt.Sprintf("%q is listed twice", n), "remove one")
		}
	}
}

func (c *checker) checkReference(key, kind, name string, known map[string]bool) {
	if !known[name] {
		c.addFault(key, fmt.Sprintf("%s %q does not exist", kind, name), fmt.Sprintf("add a [[%s]] or correct the name", kind))
	}
}

func (c *checker) checkInteger(key string, v, low, high int64, unit string) {
	if v < low || v > high {
		limit := fmt.Sprintf("between %d and %d", low, high)
		if high >= math.MaxInt32 {
			limit = fmt.Sprintf("of at least %d", low)
		}
		c.addFault(key, fmt.Sprintf("is %d", v), strings.TrimSpace(fmt.Sprintf("give a whole number %s %s", limit, unit)))
	}
}

func (c *checker) checkPositive(key string, v float64, unit string) {
	if !(v > 0) || math.IsInf(v, 0) {
		c.addFault(key, fmt.Sprintf("is %v", v), "give a number above 0, in "+unit)
	}
}

func (c *checker) checkWeight(key string, v float64) {
	if !(v >= 0) || math.IsInf(v, 0) {
		c.addFault(key, fmt.Sprintf("is %v", v), "give a finite number of at least 0")
	}
}

func (c *checker) checkDuration(key string, v, low, high Duration) {
	if v < low || v > high {
		c.addFault(key, fmt.Sprintf("is %s", v.AsDuration()), fmt.Sprintf("give a duration between %s and %s", low.AsDuration(), high.AsDuration()))
	}
}
