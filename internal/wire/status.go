package wire

import (
	"fmt"
	"net/http"
)

// maxStatus is the greatest status in HTTP.
const maxStatus = 599

// StatusError says that a response has a status that does not exist in HTTP. Nothing that the
// response says can be relied on.
type StatusError struct{ Status int }

// Error names the status and the remedy.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the response has status %03d, which is outside %d to %d; check the server", e.Status, http.StatusContinue, maxStatus)
}

// checkStatus returns a *StatusError and discards a response whose status does not exist. net/http
// accepts any number that is written with three characters.
func checkStatus(r *http.Response) error {
	if r.StatusCode >= http.StatusContinue && r.StatusCode <= maxStatus {
		return nil
	}
	CloseConn(r)
	_ = r.Body.Close() // it is not read
	return &StatusError{Status: r.StatusCode}
}
