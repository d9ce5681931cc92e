package entry

import (
	"encoding/json"
	"expvar"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

const contentTypeJSON = "application/json"

// counters counts requests, refusals, broken responses, panics and failures to
// close a run over all servers of the process.
var counters = expvar.NewMap("entry")

func writeJSON(c *app.RequestContext, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	c.Data(http.StatusOK, contentTypeJSON, b)
	return nil
}

// writeRefusal sends an error response. It does nothing for a stream that has
// started, because its status has been sent and the relay has already written
// the error event.
func writeRefusal(c *app.RequestContext, e *RefusalError) {
	if c.Response.GetHijackWriter() != nil {
		return
	}
	b, err := json.Marshal(e.body())
	if err != nil {
		b = nil
	}
	if e.Retry > 0 {
		c.Response.Header.Set("Retry-After", retryAfterSeconds(e.Retry))
	}
	if e.Status == http.StatusUnauthorized {
		c.Response.Header.Set("WWW-Authenticate", "Bearer")
	}
	if e.Status == http.StatusRequestEntityTooLarge {
		// Closing the connection avoids reading the remaining body.
		c.Response.Header.SetConnectionClose(true)
	}
	c.Data(e.Status, contentTypeJSON, b)
}

// retryAfterSeconds returns whole seconds, rounded up so that no caller retries
// too early.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

func formatBytes(n int) string {
	return strconv.Itoa(n) + " bytes"
}
