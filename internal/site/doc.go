// Package site holds what the operator of a shared platform states: which routes
// lead to which services, who may call them, and what their engines and stores
// of kept prompt state can hold.
//
// A Site is one version of that statement. It is immutable after New, so that
// requests read it without a lock.
//
// # Usage
//
//	s, err := site.New(parsed)
//	route, ok := s.Match(host, path)
//	account, ok := s.Account(key)
package site
