// Package homes decides in which regions a request may be served, cached and stored.
//
// A route and a client account may each name allowed regions (data residency). Where both
// do, both bind: the request may only use the regions that both name. The package holds no
// state and handles regions only; callers translate zones to regions.
//
// # Usage
//
//	r := homes.Of(route.AllowedRegions, account.AllowedRegions)
//	if r.Excluded() {
//		// no region is left; refuse the request
//	}
//	if !r.Allows(regionOfTarget) {
//		// choose another target
//	}
package homes
