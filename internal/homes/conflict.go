package homes

import (
	"fmt"

	"sesamehill.example/sesamehill/internal/opconf"
)

// Conflict is a route whose requests no region may serve for an account.
type Conflict struct {
	Route, Account string
	// RouteRegions and AccountRegions are the regions that each side allows; empty for all.
	RouteRegions, AccountRegions []string
}

// Error names both sides and the remedy.
func (c Conflict) Error() string {
	return fmt.Sprintf(
		"no known region is allowed by both route %q (%s) and account %q (%s); such requests are refused, give both a common region",
		c.Route, Of(c.RouteRegions), c.Account, Of(c.AccountRegions),
	)
}

// Conflicts returns the pairs of a route and an account that leave none of the known
// regions. The account is empty where the route alone leaves none.
func Conflicts(c *opconf.Config, known []string) []Conflict {
	var conflicts []Conflict
	for _, route := range c.Routes {
		if r := Of(route.AllowedRegions); r.Restricted && !r.AllowsAny(known) {
			conflicts = append(conflicts, Conflict{Route: route.Name, RouteRegions: route.AllowedRegions})
			continue
		}
		if route.Public {
			continue
		}
		for _, a := range c.Accounts {
			if r := Of(route.AllowedRegions, a.AllowedRegions); r.Restricted && !r.AllowsAny(known) {
				conflicts = append(conflicts, Conflict{
					Route: route.Name, RouteRegions: route.AllowedRegions, Account: a.Name, AccountRegions: a.AllowedRegions,
				})
			}
		}
	}
	return conflicts
}
