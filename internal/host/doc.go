// Package host wires one entry host: the callers' HTTP API, the admin port, the
// messages between hosts, the observation of targets and the loops that refresh the
// host's view of the deployment.
//
// Every host runs all roles and keeps no durable state. Durable data is in the
// platform's table; everything else is rebuilt after a restart.
//
// # Usage
//
//	settings, err := config.LoadSettings("host.toml")
//	if err != nil {
//		return err
//	}
//	h, err := host.New(settings, host.WithLog(logger))
//	if err != nil {
//		return err
//	}
//	// Run serves until ctx ends and then drains.
//	return h.Run(ctx)
package host
