// Package opapi defines the types and errors of the operators' JSON API, which
// the server (internal/forms) and the client (pkg/client) share.
//
// # Usage
//
//	var s opapi.Status
//	err := json.Unmarshal(body, &s)
//	if s.Lowest < revision {
//		// s.Lagging lists the hosts that have not applied the newest revision.
//	}
package opapi
