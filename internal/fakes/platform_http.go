package fakes

import (
	"context"
	"net/http"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"sesamehill.example/sesamehill/internal/table"
)

// route registers the handlers of the platform's HTTP API.
func (p *Platform) route(h *server.Hertz) {
	h.POST("/table/read", func(ctx context.Context, c *app.RequestContext) {
		var in table.ReadRequest
		if decodeRequest(c, &in) {
			rows, err := p.Read(ctx, in.Keys...)
			writeReply(c, table.Rows{Rows: rows}, err)
		}
	})
	h.POST("/table/scan", func(ctx context.Context, c *app.RequestContext) {
		var in table.ScanRequest
		if decodeRequest(c, &in) {
			rows, err := p.Scan(ctx, in.Prefix, in.After, in.Limit)
			writeReply(c, table.Rows{Rows: rows}, err)
		}
	})
	h.POST("/table/write", func(ctx context.Context, c *app.RequestContext) {
		var in table.WriteRequest
		if decodeRequest(c, &in) {
			writeReply(c, struct{}{}, p.Write(ctx, in.Ops))
		}
	})
	h.GET("/objects/*name", func(ctx context.Context, c *app.RequestContext) {
		data, err := p.Get(ctx, objectName(c))
		if err != nil {
			writeError(c, err)
			return
		}
		c.Data(http.StatusOK, typeBytes, data)
	})
	h.PUT("/objects/*name", func(ctx context.Context, c *app.RequestContext) {
		writeReply(c, struct{}{}, p.Put(ctx, objectName(c), c.Request.Body()))
	})
	h.GET("/list", func(ctx context.Context, c *app.RequestContext) {
		l, err := p.List(ctx)
		writeReply(c, l, err)
	})
}

func objectName(c *app.RequestContext) string { return strings.TrimPrefix(c.Param("name"), "/") }
