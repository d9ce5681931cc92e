package kvcat

import (
	"strconv"
	"strings"
	"time"

	"sesamehill.example/sesamehill/internal/homes"
)

// freeCallTimeout is how long a call that frees parts may take to arrive at the
// store.
const freeCallTimeout = time.Second

// Garbage lists the parts in a store that belong to replaced weights.
type Garbage struct {
	Address string
	Epoch   uint64
	// DeadlineMs is the time on the clock of the targets after which the store must
	// not execute the call; zero if the clock is unknown.
	DeadlineMs int64
	Keys       []Key
}

// Garbage returns the parts whose namespace names an older weight version than the
// current one of its model.
func (c *Catalog) Garbage(current map[string]int) []Garbage {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	var out []Garbage
	for _, s := range c.ordered {
		if !s.fresh(now) {
			continue
		}
		g := Garbage{Address: s.Address, Epoch: s.epoch}
		if c.hasOffset {
			g.DeadlineMs = now.Milliseconds() + c.offset + freeCallTimeout.Milliseconds()
		}
		for k := range s.parts {
			if model, version, ok := parseNamespace(k.Namespace); ok && version < current[model] {
				g.Keys = append(g.Keys, k)
			}
		}
		if len(g.Keys) > 0 {
			out = append(out, g)
		}
	}
	return out
}

// namespaceFields is the number of fields of a namespace: model, weight version, dedicated
// account and key of the allowed regions.
const namespaceFields = 4

// parseNamespace returns the model and the weight version of a namespace.
func parseNamespace(namespace string) (model string, version int, ok bool) {
	fields := strings.SplitN(namespace, "/", namespaceFields)
	if len(fields) < 2 {
		return "", 0, false
	}
	version, err := strconv.Atoi(fields[1])
	return fields[0], version, err == nil
}

// allowedRegions returns the regions in which entries of a namespace may be stored; none if
// it does not name them correctly.
func allowedRegions(namespace string) homes.Regions {
	fields := strings.SplitN(namespace, "/", namespaceFields)
	if len(fields) < namespaceFields {
		return homes.Regions{}
	}
	if allowed, ok := homes.ParseKey(fields[namespaceFields-1]); ok {
		return allowed
	}
	return homes.Regions{Restricted: true}
}
