package server

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"sesamehill.example/sesamehill/internal/proxy"
)

const (
	// ExplainPath is the path of the admin address at which a host explains where a request
	// would go. The body of the call is that request as it stands on the wire.
	ExplainPath = "/explain"
	// maxExplainBytes limits the request to explain.
	maxExplainBytes = 1 << 20
)

// serveExplain explains where a request would go now.
func (h *Host) serveExplain(w http.ResponseWriter, r *http.Request) {
	req, err := http.ReadRequest(bufio.NewReader(io.LimitReader(r.Body, maxExplainBytes)))
	if err != nil {
		http.Error(w, "the body is no HTTP request: "+err.Error(), http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		http.Error(w, "the request to explain has no whole body: "+err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(h.explain(req, body)) // the client has disconnected
}

// explain explains a request with its body.
func (h *Host) explain(r *http.Request, body []byte) proxy.Explanation {
	call, err := h.platform.Codec().ReadCall(r)
	if err != nil {
		refusal := &proxy.Refusal{Status: http.StatusBadRequest, Reason: err.Error()}
		var callErr *proxy.CallError
		if errors.As(err, &callErr) && callErr.Status != 0 {
			refusal.Status = callErr.Status
		}
		return proxy.Explanation{Outcome: proxy.Rejected, Refusal: refusal}
	}
	call.Body = body
	return h.proxy.Explain(&call)
}
