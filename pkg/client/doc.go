// Package client is the HTTP client for callers and for operators.
//
// A Caller sends completions and calls of plain services to any of several
// hosts. If a stream breaks, the client resumes it at another host. All retries of
// a call of a plain service carry the same idempotency key. The client retries
// nothing that a host rejected without stating that the request did not run,
// because such a request may crash the targets on which it runs.
//
// An Operator reads and changes the configuration of a deployment and shows its
// state.
//
// # Usage
//
//	c := client.NewCaller([]string{"10.0.0.5:8080", "10.0.0.6:8080"}, key)
//	defer c.Close()
//	s, err := c.Complete(ctx, client.Completion{Model: "advisor", Prompt: "What is a swarm?", MaxTokens: 64})
//	if err != nil {
//		return err
//	}
//	defer s.Close()
//	for {
//		t, err := s.Next()
//		if errors.Is(err, io.EOF) {
//			break // the answer is complete; s.Usage() is valid
//		}
//		if err != nil {
//			return err
//		}
//		fmt.Print(t.Text)
//	}
package client
