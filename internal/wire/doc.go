// Package wire makes connections that notice silence, and tells whether a call
// that failed had been sent.
//
// A connection may go silent without a reset. Each connection made here gives up
// unacknowledged data and unanswered keep-alive probes after a few seconds.
//
// # Usage
//
//	client := &http.Client{Transport: wire.NewTransport(wire.Fresh)}
//	_, err := client.Do(request)
//	var unsent *wire.UnsentError
//	if errors.As(err, &unsent) {
//		// no byte of the request has left
//	}
package wire
