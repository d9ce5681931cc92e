// Package forms serves the operators' JSON API under /api/ and the console under
// /, on the admin server.
//
// Both change the deployment only through a Backend, and only by committing a
// complete, validated document against the revision that the operator saw. A
// commit that conflicts with another change is reported to the operator and never
// merged silently.
//
// # Usage
//
//	f := forms.New(backend, forms.WithOperators(settings.Operators))
//	admin.Mount(f.Routes)
package forms
