package wire

import "io"

// emptyBody is a body without bytes. Unlike a nil body, it keeps net/http from retrying
// the request.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }
