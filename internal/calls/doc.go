// Package calls makes HTTP calls with hertz to one address, for clients that
// must know whether a failed request may have taken effect.
//
// The stock hertz client keeps waiting for a reply after its context has ended,
// and it repeats idempotent methods on a connection that the server closed.
// Here each connection has its own hertz host client, so that the end of a
// context closes exactly that connection, and a request is sent at most once.
// An idle connection is checked before it is reused, so that no request is lost
// on a connection that the server has closed. A connection is not reused after a
// reply with a status of 400 or above, so that a server which writes it twice does
// not refuse the next request with it.
//
// # Usage
//
//	pool := calls.NewPool("http://127.0.0.1:9001")
//	reply, err := pool.Do(ctx, calls.Request{Method: "GET", Path: "/load"})
//	var failed *calls.Error
//	if errors.As(err, &failed) && !failed.MaybeSent {
//		// the server has not received the request
//	}
//
// A call has no timeout of its own. It ends when its context is canceled.
package calls
