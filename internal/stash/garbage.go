package stash

import (
	"strconv"
	"strings"
	"time"
)

// freeTime is how long a call that frees parts may take to arrive.
const freeTime = time.Second

// Garbage is what a store holds for weights that have been replaced.
type Garbage struct {
	Address string
	Epoch   uint64
	// Until is the time on the targets' clock after which nothing may be freed.
	Until int64
	Keys  []Key
}

// Garbage returns the parts whose scope names an older version than the named
// one of its model.
func (c *Catalog) Garbage(named map[string]int) []Garbage {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	var out []Garbage
	for _, s := range c.order {
		if !s.believed(now) {
			continue
		}
		g := Garbage{Address: s.Address, Epoch: s.epoch}
		if c.hasOffset {
			g.Until = now.Milliseconds() + c.offset + freeTime.Milliseconds()
		}
		for k := range s.held {
			if model, version, ok := parseScope(k.Scope); ok && version < named[model] {
				g.Keys = append(g.Keys, k)
			}
		}
		if len(g.Keys) > 0 {
			out = append(out, g)
		}
	}
	return out
}

func parseScope(scope string) (model string, version int, ok bool) {
	fields := strings.SplitN(scope, "/", 3)
	if len(fields) < 2 {
		return "", 0, false
	}
	version, err := strconv.Atoi(fields[1])
	return fields[0], version, err == nil
}
