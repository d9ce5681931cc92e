// Package demo runs a complete deployment in one process on the loopback interface:
// the hosts of two regions with three availability zones, and fakes of the engines,
// stores, plain services and the platform.
//
// # Usage
//
//	err := demo.Run(ctx, demo.Options{Listen: "127.0.0.1:8080", Admin: "127.0.0.1:8081"}, os.Stdout)
//
// Run returns when ctx is done and every host has drained.
package demo
