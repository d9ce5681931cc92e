package room

// Load is an amount of each resource of an engine.
type Load struct {
	// Calls is the number of requests, Tokens the memory that they need.
	Calls, Tokens float64
}

// Engine is what an engine holds and what it can hold; zero for no limit.
type Engine struct{ Held, Limit Load }

// maxReserve is the largest share of a resource that is reserved.
const maxReserve = 0.5

// Admit returns for each engine whether a request with a load leaves the reserve free
// there.
func Admit(engines []Engine, request, reserve Load) []bool {
	out := make([]bool, len(engines))
	for i, e := range engines {
		out[i] = e.leaves(request, reserve)
	}
	return out
}

// leaves reports whether the reserve stays free if the engine takes a request. One without
// calls takes any.
func (e Engine) leaves(request, reserve Load) bool {
	if e.Held.Calls == 0 {
		return true
	}
	fits := func(held, limit, request, reserve float64) bool {
		return limit <= 0 || reserve <= 0 || held+request+min(reserve, maxReserve*limit) <= limit
	}
	return fits(e.Held.Calls, e.Limit.Calls, request.Calls, reserve.Calls) &&
		fits(e.Held.Tokens, e.Limit.Tokens, request.Tokens, reserve.Tokens)
}

func (l Load) add(m Load) Load {
	return Load{l.Calls + m.Calls, l.Tokens + m.Tokens}
}

// Scale returns a multiple of a load.
func (l Load) Scale(f float64) Load { return Load{f * l.Calls, f * l.Tokens} }
