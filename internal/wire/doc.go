// Package wire opens connections that detect dead peers, and reports whether a
// failed request had been sent. It ends calls that receive no data, and reads the boot
// clock.
//
// A peer may become unreachable without a TCP reset. Connections of this package
// therefore fail within a few seconds when data stays unacknowledged or keep-alive
// probes stay unanswered.
//
// # Usage
//
//	client := &http.Client{Transport: wire.NewTransport(wire.SingleUse)}
//	_, err := client.Do(request)
//	var unsent *wire.UnsentError
//	if errors.As(err, &unsent) {
//		// no byte of the request was sent
//	}
//
//	ctx, cancel := wire.WithStallTimeout(ctx, first, timeout)
//	defer cancel()
//	data, err := io.ReadAll(wire.ProgressReader(ctx, response.Body))
package wire
