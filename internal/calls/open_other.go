//go:build !unix

package calls

// open cannot detect on this platform that the server has closed the connection.
// A call on such a connection fails with MaybeSent set.
func (c *conn) open() bool { return c.Len() == 0 }
