// Package target defines the interfaces and protocols of the systems that
// sesamehill uses to serve requests: engines, stores of KV cache and plain
// services. It also has their HTTP clients.
//
// # Usage
//
//	engine := target.NewEngine("http://127.0.0.1:9001")
//	stream, err := engine.Generate(ctx, request)
//	if err != nil {
//		return err
//	}
//	defer stream.Close()
//	for {
//		chunk, err := stream.Next()
//		// handle the chunk; io.EOF follows the chunk with Done set
//	}
package target
