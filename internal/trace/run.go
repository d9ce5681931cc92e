package trace

import (
	"fmt"
	"runtime"

	"golang.org/x/sync/errgroup"
)

// Names of the policies.
const (
	Sesamehill  = "sesamehill"
	RoundRobin  = "round robin"
	LeastLoaded = "least loaded"
	Affinity    = "prefix affinity"
	Importer    = "importer"
	Oracle      = "oracle"
	// AttachedKeys attaches the chain keys to a forwarded request. With OriginLookups,
	// the host that receives a forwarded request queries the index of the region it
	// came from, which an attached negative result would make unnecessary.
	AttachedKeys  = "sesamehill, keys attached"
	OriginLookups = "sesamehill, asks the origin"
)

// Annotations returns the policies whose comparison shows the benefit of
// annotations on forwarded requests.
func Annotations() []string { return []string{Sesamehill, AttachedKeys, OriginLookups} }

// Policies returns the names of all policies.
func Policies() []string {
	return []string{Sesamehill, RoundRobin, LeastLoaded, Affinity, Importer, Oracle}
}

func newPolicy(name string) (policy, error) {
	switch name {
	case Sesamehill:
		return &real{}, nil
	case AttachedKeys:
		return &real{attachKeys: true}, nil
	case OriginLookups:
		return &real{queryOrigin: true}, nil
	case RoundRobin:
		return roundRobin(), nil
	case LeastLoaded:
		return &baseline{pick: leastLoaded}, nil
	case Affinity:
		return affinity(), nil
	case Importer:
		return &importer{}, nil
	case Oracle:
		return &oracle{}, nil
	}
	return nil, fmt.Errorf("policy %q does not exist; use one of %v", name, Policies())
}

// Run replays the same trace under each policy.
func Run(s Setup, seed uint64, policies []string) ([]*Result, error) {
	vs := visits(&s, seed)
	results := make([]*Result, len(policies))
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i, name := range policies {
		g.Go(func() error {
			p, err := newPolicy(name)
			if err != nil {
				return err
			}
			results[i] = newResult(name, len(s.Document.Accounts))
			newWorld(&s, seed, p, results[i]).replay(vs)
			return nil
		})
	}
	err := g.Wait()
	return results, err
}
