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

// writeReply writes out as JSON, or the reply for err.
func writeReply(c *app.RequestContext, out any, err error) {
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

// decodeRequest decodes the JSON body of a request. It refuses an invalid one and
// returns false.
func decodeRequest(c *app.RequestContext, in any) bool {
	if err := json.Unmarshal(c.Request.Body(), in); err != nil {
		writeRefusal(c, http.StatusBadRequest, target.Refusal{Code: target.CodeRefused, Reason: err.Error()})
		return false
	}
	return true
}

// writeError writes the reply for a typed error. It closes the connection for an
// error that leaves the outcome unknown.
func writeError(c *app.RequestContext, err error) {
	var (
		staleToken    *target.FencingTokenError
		missing       *target.MissingError
		pinned        *target.PinnedError
		notRun        *target.NotRunError
		conflict      *table.ConflictError
		missingObject *table.MissingError
		down          *table.DownError
		lost          *lostReplyError
	)
	switch {
	case errors.As(err, &lost):
		closeConnection(c)
	case errors.As(err, &staleToken):
		writeRefusal(c, http.StatusConflict, target.Refusal{
			Code: target.CodeFencingToken, SentToken: staleToken.Sent, AcceptedToken: staleToken.Accepted,
		})
	case errors.As(err, &missing):
		writeRefusal(c, http.StatusNotFound, target.Refusal{Code: target.CodeMissing, Reason: missing.What})
	case errors.As(err, &pinned):
		writeRefusal(c, http.StatusConflict, target.Refusal{Code: target.CodePinned, Key: pinned.Key})
	case errors.As(err, &notRun):
		c.Response.Header.Set(target.HeaderRan, "no")
		writeRefusal(c, http.StatusServiceUnavailable, target.Refusal{Code: target.CodeRefused, Reason: notRun.Reason})
	case errors.As(err, &conflict):
		writeRefusal(c, http.StatusConflict, table.ErrorReply{
			Code: table.CodeConflict, Key: conflict.Key, Version: conflict.Version,
		})
	case errors.As(err, &missingObject):
		writeRefusal(c, http.StatusNotFound, table.ErrorReply{Code: table.CodeMissing, Key: missingObject.Name})
	case errors.As(err, &down):
		writeRefusal(c, http.StatusServiceUnavailable, table.ErrorReply{Code: table.CodeDown, Reason: down.Reason})
	default:
		closeConnection(c)
	}
}

// closeConnection closes the connection without a reply.
func closeConnection(c *app.RequestContext) {
	c.Response.Header.SetConnectionClose(true)
	_ = c.GetConn().Close()
}

// writeRefusal writes a refusal as JSON.
func writeRefusal(c *app.RequestContext, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		closeConnection(c)
		return
	}
	c.Data(status, typeJSON, b)
}
