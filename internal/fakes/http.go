package fakes

import (
	"errors"
	"net/http"

	"github.com/cloudwego/hertz/pkg/common/json"

	"github.com/cloudwego/hertz/pkg/app"

	"sesamehill.example/sesamehill/internal/table"
	"sesamehill.example/sesamehill/internal/target"
)

const (
	typeJSON  = "application/json"
	typeBytes = "application/octet-stream"
)

// answer writes a JSON reply, or the reply for an error.
func answer(c *app.RequestContext, out any, err error) {
	if err != nil {
		writeError(c, err)
		return
	}
	b, err := json.Marshal(out)
	if err != nil {
		writeError(c, err)
		return
	}
	c.Data(http.StatusOK, typeJSON, b)
}

// decodeRequest decodes the body of a request and refuses one that is not valid.
func decodeRequest(c *app.RequestContext, in any) bool {
	if err := json.Unmarshal(c.Request.Body(), in); err != nil {
		writeRefusal(c, http.StatusBadRequest, target.Refusal{Code: target.CodeRefused, Reason: err.Error()})
		return false
	}
	return true
}

// writeError maps a typed error to its reply. An error that leaves the outcome open
// breaks the connection.
func writeError(c *app.RequestContext, err error) {
	var (
		fence    *target.FenceError
		missing  *target.MissingError
		pinned   *target.PinnedError
		notRun   *target.NotRunError
		conflict *table.ConflictError
		object   *table.MissingError
		down     *table.DownError
		lost     *lostReplyError
	)
	switch {
	case errors.As(err, &lost):
		closeConnection(c)
	case errors.As(err, &fence):
		writeRefusal(c, http.StatusConflict, target.Refusal{
			Code: target.CodeFence, Sent: fence.Sent, Accepted: fence.Accepted,
		})
	case errors.As(err, &missing):
		writeRefusal(c, http.StatusNotFound, target.Refusal{Code: target.CodeMissing, Reason: missing.What})
	case errors.As(err, &pinned):
		writeRefusal(c, http.StatusConflict, target.Refusal{Code: target.CodePinned, Key: pinned.Key})
	case errors.As(err, &notRun):
		c.Response.Header.Set(target.HeaderRan, "no")
		writeRefusal(c, http.StatusServiceUnavailable, target.Refusal{Code: target.CodeRefused, Reason: notRun.Reason})
	case errors.As(err, &conflict):
		writeRefusal(c, http.StatusConflict, table.Refusal{
			Code: table.CodeConflict, Key: conflict.Key, Version: conflict.Version,
		})
	case errors.As(err, &object):
		writeRefusal(c, http.StatusNotFound, table.Refusal{Code: table.CodeMissing, Key: object.Name})
	case errors.As(err, &down):
		writeRefusal(c, http.StatusServiceUnavailable, table.Refusal{Code: table.CodeDown, Reason: down.Reason})
	default:
		closeConnection(c)
	}
}

// closeConnection closes the connection without a reply.
func closeConnection(c *app.RequestContext) {
	c.Response.Header.SetConnectionClose(true)
	_ = c.GetConn().Close()
}

func writeRefusal(c *app.RequestContext, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		closeConnection(c)
		return
	}
	c.Data(status, typeJSON, b)
}
