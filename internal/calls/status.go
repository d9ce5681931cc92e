package calls

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
)

const (
	// minHeadBytes is the length of the shortest head, whose status line has no digits.
	minHeadBytes = len("HTTP/1.1 \r\n\r\n")
	statusDigits = 3
	maxStatus    = 599
	// maxQuotedBytes bounds what an error quotes of a status line.
	maxQuotedBytes = 32
)

// StatusError says that the status line of a reply has no valid status.
type StatusError struct{ Line string }

// Error quotes the line and names the remedy.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the status line %q of the reply has no status from 100 to %d; check the server", e.Line, maxStatus)
}

// checkStatus checks the status line at the begin of the received bytes, unless the line of the
// final reply was checked before. hertz takes status 000 for 200, and any number for a status.
func (c *conn) checkStatus() error {
	head := bytes.TrimLeft(c.received[c.consumed:], "\r\n")
	if c.owner.statusChecked || len(head) < minHeadBytes {
		return nil
	}
	line, _, _ := bytes.Cut(head, []byte("\n"))
	_, text, _ := bytes.Cut(bytes.TrimRight(line, "\r"), []byte(" "))
	digits, _, _ := bytes.Cut(text, []byte(" "))
	status, err := strconv.ParseUint(string(digits), 10, 16)
	if err != nil || len(digits) != statusDigits || status < http.StatusContinue || status > maxStatus {
		return &StatusError{Line: string(line[:min(len(line), maxQuotedBytes)])}
	}
	c.owner.statusChecked = status != http.StatusContinue
	return nil
}
