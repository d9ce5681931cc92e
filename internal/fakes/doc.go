// Package fakes provides test doubles of the systems around sesamehill: engines,
// stores, plain services, network links and the platform.
//
// Each fake is an in-memory state machine that implements the Go interface of
// its kind directly, so that tests need no sockets. Serve exposes the same state
// machine over HTTP on loopback. Injected faults apply to both transports.
//
// # Usage
//
//	engine := fakes.NewEngine("engine-1", fakes.WithDecode(200))
//	stream, err := engine.Generate(ctx, request) // in memory
//
//	if err := engine.Serve("127.0.0.1:0"); err != nil {
//		return err
//	}
//	defer engine.Close()
//	client := target.NewEngine(engine.Address()) // over HTTP
//
// Generated tokens depend only on the prompt tokens and the offset; Answer
// returns the complete correct answer. An engine that uses a wrong KV block
// generates a wrong answer and records the use in Violations.
package fakes
