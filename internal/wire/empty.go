package wire

import "io"

// empty is a body of no bytes that net/http does not take for one it may repeat.
type empty struct{}

func (empty) Read([]byte) (int, error) { return 0, io.EOF }
func (empty) Close() error             { return nil }
