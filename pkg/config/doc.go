// Package config defines the two configuration files of sesamehill: the
// configuration document of a deployment, which operators validate and apply, and
// the settings file of one host.
//
// The configuration document states which models and versions serve which client
// accounts, where stored KV cache may be placed, and which requests are
// non-idempotent. All hosts of a deployment apply the same revision of it.
//
// # Usage
//
//	doc, err := config.ParseDocument("deploy.toml", data)
//	if err != nil {
//		// err is a *config.FaultsError listing every fault with its remedy.
//	}
package config
