// Package entry serves the callers' HTTP API: completions and chat completions
// in the OpenAI format, streamed and non-streamed, the list of models, and plain
// services.
//
// The package does not route requests. It authenticates, validates and tokenizes
// a request, passes it to a Runner, and relays the response. An incomplete
// response never looks complete: an interrupted stream ends with an error event
// and without "data: [DONE]", and an interrupted non-streamed response has an
// error status.
//
// Engines take token IDs, and this system includes no model tokenizer. Text
// prompts are therefore split by a deterministic substitute: a token is a word
// with the white space before it, truncated to 16 bytes, and its ID is a hash of
// these bytes. When text is appended to a prompt, the tokens of its complete
// words stay the same, so stored prompt state still matches. Callers that have
// the tokenizer of the model send prompts as arrays of token IDs.
//
// # Usage
//
//	s := entry.New(runner, entry.WithAddress("127.0.0.1:8080"))
//	go func() { served <- s.Serve() }()
//	// on SIGTERM:
//	err := s.Drain(ctx)
package entry
