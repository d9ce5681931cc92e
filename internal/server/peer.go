package server

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"sesamehill.example/sesamehill/internal/bound"
	"sesamehill.example/sesamehill/internal/kvcat"
	"sesamehill.example/sesamehill/internal/relay"
	"sesamehill.example/sesamehill/internal/tunnel"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// storesPath is the path at which a host serves its inventory of the stores,
	// tablePath the path at which it serves changes of the platform tables.
	storesPath = "/stores"
	tablePath  = "/tables"
	// storeChangeWait is how long a call at storesPath waits for a change; peerTimeout
	// is the deadline of a call.
	storeChangeWait = 200 * time.Millisecond
	peerTimeout     = 900 * time.Millisecond
	maxReplyBytes   = 4 << 20
	maxQueryBytes   = 1 << 10
	// fullRefreshInterval is the time between two replies that cover all stores. Such
	// a reply refreshes the inventory of stores that do not change.
	fullRefreshInterval = 350 * time.Millisecond
	cborType            = "application/cbor"
)

// queryHub requests the changes of the stores that this host has not received yet from
// another host.
func (w *storeWatcher) queryHub(ctx context.Context, peer string) (kvcat.CatalogUpdate, error) {
	cursor := w.host.catalog.Cursor()
	cursor.ChangedOnly = wire.BootTime()-w.fullRefreshAt < fullRefreshInterval
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var d kvcat.CatalogUpdate
	if err := w.host.peerClient.call(ctx, peer, storesPath, cursor, &d); err != nil {
		return d, err
	}
	if !cursor.ChangedOnly {
		w.fullRefreshAt = wire.BootTime()
	}
	return d, nil
}

// peerClient makes calls to other hosts.
type peerClient struct {
	client *http.Client
	pool   *bound.Pool
}

func newPeerClient(p *bound.Pool) *peerClient {
	return &peerClient{client: &http.Client{Transport: wire.NewTransport(wire.KeepAlive)}, pool: p}
}

// call sends a request to a path of a host and decodes the answer into reply.
func (p *peerClient) call(ctx context.Context, peer, path string, request, reply any) error {
	b, err := cbor.Marshal(request)
	if err != nil {
		return errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer+path, bytes.NewReader(b))
	if err != nil {
		return errors.Trace(err)
	}
	req.Header.Set("Content-Type", cborType)
	resp, err := p.client.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read or is not needed
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("host at %s answered with status %d; query another host", peer, resp.StatusCode)
	}
	body, err := p.pool.Read(wire.ProgressReader(ctx, resp.Body), maxReplyBytes)
	if err != nil {
		return errors.Trace(err)
	}
	defer body.Release()
	if err := cbor.Unmarshal(body.Bytes, reply); err != nil {
		return errors.Annotatef(err, "decode the reply of the host at %s; run the same version on all hosts", peer)
	}
	return nil
}

// queryTable requests the changes of a table from a hub.
func (h *Host) queryTable(ctx context.Context, hub string, q relay.Query) (relay.Reply, error) {
	var a relay.Reply
	err := h.peerClient.call(ctx, hub, tablePath, q, &a)
	return a, err
}

// serveTable answers hosts that request the changes of a table.
func (h *Host) serveTable(w http.ResponseWriter, r *http.Request) {
	var q relay.Query
	if readQuery(w, r, &q) {
		writeReply(w, h.tables.HandleQuery(q))
	}
}

// readQuery decodes the query of another host. If it cannot, it answers the call and
// returns false.
func readQuery(w http.ResponseWriter, r *http.Request, query any) bool {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxQueryBytes))
	if err != nil {
		http.Error(w, "cannot read the query", http.StatusBadRequest)
		return false
	}
	if err := cbor.Unmarshal(b, query); err != nil {
		http.Error(w, "cannot decode the query; run the same version on all hosts", http.StatusBadRequest)
		return false
	}
	return true
}

func writeReply(w http.ResponseWriter, reply any) {
	out, err := cbor.Marshal(reply)
	if err != nil {
		http.Error(w, "cannot encode the reply", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", cborType)
	_, _ = w.Write(out) // the client has disconnected
}

// serveStores answers hosts that request changes of the stores.
func (h *Host) serveStores(w http.ResponseWriter, r *http.Request) {
	var cursor kvcat.Cursor
	if !readQuery(w, r, &cursor) {
		return
	}
	h.catalog.WaitForChange(r.Context(), cursor, storeChangeWait)
	writeReply(w, h.catalog.UpdateSince(cursor))
}

// peerHandler serves calls of other hosts.
func (h *Host) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+storesPath, h.serveStores)
	mux.HandleFunc("POST "+tablePath, h.serveTable)
	mux.HandleFunc("POST "+configPath, h.serveConfig)
	mux.HandleFunc("POST "+originPath, h.serveOrigin)
	mux.HandleFunc("POST "+startPath, h.serveStarts)
	mux.Handle("GET "+tunnel.Path, h.tunnels)
	return mux
}
