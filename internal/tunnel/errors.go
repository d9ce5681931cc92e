package tunnel

import (
	"fmt"
	"net/http"
)

// RefusedError says that a host opened no tunnel.
type RefusedError struct {
	Host   string
	Status int
}

// Error names the host and the remedy.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("host at %s opened no tunnel: status %d; ask another host", e.Host, e.Status)
}

// TargetUnreachable reports whether the host can reach targets, but not this one.
func (e *RefusedError) TargetUnreachable() bool { return e.Status == http.StatusBadGateway }

// ConnectError says why a host connects to no target.
type ConnectError struct {
	// Status is the status of the response: 502 if only this target cannot be reached.
	Status  int
	Problem string
}

// Error names the problem and the remedy.
func (e *ConnectError) Error() string { return e.Problem + "; ask another host" }
