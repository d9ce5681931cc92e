package proxy

import (
	"sesamehill.example/sesamehill/internal/homes"
	"sesamehill.example/sesamehill/internal/queue"
)

// regionPass is the pass over the waiting requests with the same allowed regions.
type regionPass struct {
	*queue.Pass
	allowed homes.Regions
}

// passes holds a pass for each set of allowed regions during one dispatch. Requests whose
// regions are full do not hold up others that another region has room for.
type passes map[string]regionPass

// of returns the pass for a set of allowed regions.
func (p passes) of(allowed homes.Regions) regionPass {
	key := allowed.Key()
	pass, ok := p[key]
	if !ok {
		pass = regionPass{queue.NewPass(), allowed}
		p[key] = pass
	}
	return pass
}

// granted records that a request has got room in a region. It has overtaken those without
// room that may be served there.
func (p passes) granted(i queue.Item, allowed homes.Regions, region string) {
	own := allowed.Key()
	for key, pass := range p {
		if key == own || pass.allowed.Allows(region) {
			pass.Granted(i)
		}
	}
}

// keptRegions returns the regions in which a request must not take room, as it would overtake
// requests of other sets of allowed regions too often.
func (p passes) keptRegions(i queue.Item, allowed homes.Regions) []homes.Regions {
	var kept []homes.Regions
	own := allowed.Key()
	for key, pass := range p {
		if key != own && !i.First && !pass.MayOvertake(i) {
			kept = append(kept, pass.allowed)
		}
	}
	return kept
}
