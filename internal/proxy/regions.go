package proxy

import (
	"context"
	"net"
	"slices"
	"time"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/homes"
	"sesamehill.example/sesamehill/internal/wire"
)

// excludedRetryAfter is the Retry-After time of a request that no region may serve. Only a
// new configuration changes that.
const excludedRetryAfter = 5 * time.Second

const excludedReason = "the allowed regions of the route and of the account exclude each other"

// RelayedConn is a connection to a target that leads through another host.
type RelayedConn interface {
	net.Conn
	// RelayRegion returns the region of the other host.
	RelayRegion() string
}

// setAllowedRegions finds out in which regions the request may be served, cached and stored.
func (j *job) setAllowedRegions() {
	j.allowed = homes.Of(j.route.AllowedRegions)
	if j.account != nil {
		j.allowed = homes.Of(j.route.AllowedRegions, j.account.AllowedRegions)
	}
}

// mayServe reports whether a target is where the request may be served, and its zone is not
// evacuated. Of a request with allowed regions, it also reports whether the target can be
// reached, through hosts that may carry the request: no other region can replace these
// targets while all of them are down.
func (p *Proxy) mayServe(j *job, s fleet.Status) bool {
	switch {
	case p.evacuated(s.Zone):
		return false
	case !j.allowed.Restricted:
		return true
	case s.Down || !j.allowed.Allows(p.region(s.Zone)):
		return false
	}
	return !s.Tunneled || p.paths.CanRelay(j.allowed)
}

// restriction says why mayServe is false for a target.
func (p *Proxy) restriction(s fleet.Status) string {
	if p.evacuated(s.Zone) {
		return "its zone is evacuated"
	}
	return "it cannot be reached in a region that the route and the account allow"
}

// refuseExcluded answers a request whose route and account leave no region.
func (p *Proxy) refuseExcluded(j *job) {
	p.Metrics.Count("refused by region")
	p.refuse(j, excludedReason, excludedRetryAfter)
}

// restrictedReason says that the allowed regions of a request, or evacuated zones, leave none
// of the targets; empty if they do not.
func (p *Proxy) restrictedReason(j *job) string {
	serving := p.fleet.Serving(j.service.Name)
	if slices.ContainsFunc(serving, func(s fleet.Status) bool { return p.mayServe(j, s) && !j.excluded[s.ID] }) {
		return ""
	}
	evacuated := slices.ContainsFunc(serving, func(s fleet.Status) bool { return p.evacuated(s.Zone) && j.allowed.Allows(p.region(s.Zone)) })
	switch {
	case evacuated:
		p.Metrics.Count("refused by evacuation")
		return "the zones of the remaining targets are evacuated"
	case j.allowed.Restricted:
		p.Metrics.Count("refused by region")
		return "no target in the allowed regions (" + j.allowed.String() + ") can take the request"
	}
	return ""
}

// withRestriction returns the context of an attempt. Connections for it lead only through
// hosts that may carry the request.
func withRestriction(ctx context.Context, allowed homes.Regions) context.Context {
	if !allowed.Restricted {
		return ctx
	}
	return wire.WithConnCheck(homes.NewContext(ctx, allowed), func(c net.Conn) bool {
		if s, ok := c.(*startedConn); ok {
			c = s.Conn
		}
		r, relayed := c.(RelayedConn)
		return !relayed || allowed.Allows(r.RelayRegion())
	})
}
