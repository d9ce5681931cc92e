// Package dump serves the state of a host to its operators: the registry of
// named sections behind GET /state, and the admin server, on which other
// packages mount their routes.
//
// Each component of the host adds one section, whose value is a plain exported
// struct. API keys and prompt text must never appear in the dump. The registry
// therefore checks the type of each section and leaves out a section with a field
// that could hold them: a field named like a secret or like the content of a
// request, or one whose type does not determine its content (any,
// json.RawMessage).
//
// # Usage
//
//	r := dump.New()
//	r.Add("links", func() any { return links.State() })
//	a := dump.NewAdmin(r, dump.WithAddress(address), dump.WithReady(host.Ready))
//	a.Mount(func(r route.IRouter) { r.GET("/api/status", status) })
//	err := a.Serve(ctx)
package dump
