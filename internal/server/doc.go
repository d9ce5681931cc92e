// Package server runs an entry host on a shared platform.
//
// The host reads the operator configuration and the list of targets from the
// platform's tables, serves callers through a proxy, and takes part in the leased
// tasks that one host at a time performs. It stores nothing on disk: after a start
// it reads everything again, and it is ready once it has a configuration and a
// target.
//
// # Usage
//
//	s, err := server.LoadSettings(path)
//	h, err := server.New(s, platform, server.WithLog(log))
//	err = h.Run(ctx) // until SIGTERM cancels ctx, then drains
package server
