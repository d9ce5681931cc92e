package queue

const (
	// maxMisses bounds the requests without room that one dispatch evaluates, as each one
	// is compared with every target.
	maxMisses = 6
	// nextSize is the share of the size of a request without room from which on a smaller
	// one is tried in the same dispatch.
	nextSize = 0.75
	// maxOvertaken is the work that may be placed before a request without room, in
	// multiples of its size.
	maxOvertaken = 2
)

// Pass decides, during one dispatch in queue order, which waiting requests are tried.
type Pass struct {
	missed []*Item
	// limit is the largest size that is still tried; zero for no limit.
	limit float64
}

// NewPass returns the state of a dispatch that has tried nothing yet.
func NewPass() *Pass { return &Pass{} }

// Try reports whether the next request in the order should be tried. One that is no smaller
// than another that has found no room would find none either.
func (p *Pass) Try(i Item) bool {
	switch {
	case len(p.missed) >= maxMisses:
		return false
	case i.First || len(p.missed) == 0:
		return true
	case float64(i.Size) > p.limit && i.Size > 1:
		return false
	}
	return p.MayOvertake(i)
}

// MayOvertake reports whether a request may get room before those that have found none. Each
// of them lets only a bounded amount of work pass.
func (p *Pass) MayOvertake(i Item) bool {
	for _, m := range p.missed {
		if m.Overtaken+i.Size > maxOvertaken*m.Size {
			return false
		}
	}
	return true
}

// Missed records that a request has found no room.
func (p *Pass) Missed(i *Item) {
	if size := nextSize * float64(i.Size); p.limit == 0 || size < p.limit {
		p.limit = size
	}
	if !i.First {
		p.missed = append(p.missed, i)
	}
}

// Granted records that a request has got room. It has overtaken those before it that have
// not.
func (p *Pass) Granted(i Item) {
	for _, m := range p.missed {
		m.Overtaken += i.Size
	}
}
