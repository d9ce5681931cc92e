// Package front runs an entry host on a shared platform.
//
// The host follows the operator's document and the list of targets, serves
// callers through a gate, and takes its part in the duties that one host at a
// time has. Nothing of it lasts: after a start it learns everything anew, and is
// ready once it knows a site and a target.
//
// # Usage
//
//	s, err := front.LoadSettings(path)
//	h, err := front.New(s, platform, front.WithLog(log))
//	err = h.Run(ctx) // until SIGTERM cancels ctx, then drains
package front
