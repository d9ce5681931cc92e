package fakes

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/common/json"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"sesamehill.example/sesamehill/internal/calls"
	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/chain"
)

var (
	_ blockStore = (*Store)(nil)
	_ blockStore = (*storeClient)(nil)
)

// route registers the handlers of the store's HTTP API.
func (s *Store) route(h *server.Hertz) {
	h.GET("/pieces", func(ctx context.Context, c *app.RequestContext) {
		list, err := s.List(ctx)
		writeReply(c, list, err)
	})
	h.GET("/usage", func(ctx context.Context, c *app.RequestContext) {
		u, err := s.Usage(ctx)
		writeReply(c, u, err)
	})
	h.POST("/pieces/:key", s.keyed(func(ctx context.Context, c *app.RequestContext, k chain.Key, _ uint64) {
		var in target.BlockAnnouncement
		if decodeRequest(c, &in) {
			b, err := s.reserve(ctx, k, in)
			writeReply(c, b, err)
		}
	}))
	h.PUT("/pieces/:key", s.keyed(func(ctx context.Context, c *app.RequestContext, k chain.Key, generation uint64) {
		writeReply(c, struct{}{}, s.write(ctx, k, generation, c.Request.Body()))
	}))
	h.POST("/pieces/:key/seal", s.keyed(func(ctx context.Context, c *app.RequestContext, k chain.Key, _ uint64) {
		var in target.CommitRequest
		if decodeRequest(c, &in) {
			writeReply(c, struct{}{}, s.commit(ctx, k, in))
		}
	}))
	h.POST("/pieces/:key/pin", s.keyed(func(ctx context.Context, c *app.RequestContext, k chain.Key, _ uint64) {
		var in target.PinRequest
		if decodeRequest(c, &in) {
			p, err := s.Pin(ctx, k, time.Duration(in.TTLMillis)*time.Millisecond)
			writeReply(c, p, err)
		}
	}))
	h.DELETE("/pieces/:key/pin/:id", s.keyed(func(ctx context.Context, c *app.RequestContext, k chain.Key, _ uint64) {
		writeReply(c, struct{}{}, s.Unpin(ctx, k, c.Param("id")))
	}))
	h.GET("/pieces/:key", s.keyed(func(ctx context.Context, c *app.RequestContext, k chain.Key, generation uint64) {
		data, err := s.fetch(ctx, k, generation, c.Query("pin"))
		if err != nil {
			writeError(c, err)
			return
		}
		c.Data(http.StatusOK, typeBytes, data)
	}))
	h.DELETE("/pieces/:key", s.keyed(func(ctx context.Context, c *app.RequestContext, k chain.Key, generation uint64) {
		writeReply(c, struct{}{}, s.Free(ctx, k, generation))
	}))
}

// keyedHandler handles a request for a block.
type keyedHandler = func(ctx context.Context, c *app.RequestContext, k chain.Key, generation uint64)

// keyed parses the key of a block and the optional generation, and passes them to
// next.
func (s *Store) keyed(next keyedHandler) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		k, err := chain.ParseKey(c.Param("key"))
		var generation uint64
		if q := c.Query("gen"); err == nil && q != "" {
			generation, err = strconv.ParseUint(q, 10, 64)
		}
		if err != nil {
			writeError(c, &target.NotRunError{Target: s.name, Reason: err.Error()})
			return
		}
		next(ctx, c, k, generation)
	}
}

// storeClient is the HTTP client that engines use to transfer blocks.
type storeClient struct{ pool *calls.Pool }

func newStoreClient(address string) *storeClient { return &storeClient{calls.NewPool(address)} }

func (s *storeClient) reserve(ctx context.Context, key chain.Key, p target.BlockAnnouncement) (target.WriteStarted, error) {
	var b target.WriteStarted
	body, err := s.call(ctx, http.MethodPost, blockPath(key), "", p)
	if err != nil {
		return b, err
	}
	return b, json.Unmarshal(body, &b)
}

func (s *storeClient) fetch(ctx context.Context, key chain.Key, generation uint64, pin string) ([]byte, error) {
	q := fmt.Sprintf("gen=%d&pin=%s", generation, pin)
	return s.call(ctx, http.MethodGet, blockPath(key), q, nil)
}

func (s *storeClient) commit(ctx context.Context, key chain.Key, in target.CommitRequest) error {
	_, err := s.call(ctx, http.MethodPost, blockPath(key)+"/seal", "", in)
	return err
}

func (s *storeClient) write(ctx context.Context, key chain.Key, generation uint64, data []byte) error {
	_, err := s.call(ctx, http.MethodPut, blockPath(key), fmt.Sprintf("gen=%d", generation), data)
	return err
}

// call sends a request and returns the body of a successful reply.
func (s *storeClient) call(ctx context.Context, method, path, query string, in any) ([]byte, error) {
	r := calls.Request{Method: method, Path: path, Query: query}
	switch v := in.(type) {
	case nil:
	case []byte:
		r.Body, r.ContentType = v, typeBytes
	default:
		body, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		r.Body, r.ContentType = body, typeJSON
	}
	reply, err := s.pool.Do(ctx, r)
	if err != nil {
		return nil, err
	}
	if reply.Status >= http.StatusMultipleChoices {
		var refusal target.Refusal
		if json.Unmarshal(reply.Body, &refusal) == nil && refusal.Code == target.CodeMissing {
			return nil, &target.MissingError{Target: s.pool.Address(), What: refusal.Reason}
		}
		return nil, errors.New("the store refused the request: " + refusal.Reason)
	}
	return reply.Body, nil
}

// blockPath returns the URL path of a block.
func blockPath(key chain.Key) string { return "/pieces/" + key.String() }
