package front

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"sesamehill.example/sesamehill/internal/stash"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// peerPath is where a host tells others what the stores hold.
	peerPath = "/stores"
	// peerWait is how long such a call waits for a change, peerTimeout bounds it.
	peerWait    = 200 * time.Millisecond
	peerTimeout = 900 * time.Millisecond
	maxDigest   = 4 << 20
	maxCursor   = 1 << 10
	// refreshPace is the time between two answers about all stores; it keeps those
	// believed that do not change.
	refreshPace = 350 * time.Millisecond
	cborType    = "application/cbor"
)

// ask returns what a host knows about the stores beyond what this one does.
func (p *pollers) ask(ctx context.Context, peer string) (stash.Digest, error) {
	var d stash.Digest
	known := p.host.stash.Cursor()
	known.Brief = wire.Boot()-p.refreshed < refreshPace
	b, err := cbor.Marshal(known)
	if err != nil {
		return d, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer+peerPath, bytes.NewReader(b))
	if err != nil {
		return d, errors.Trace(err)
	}
	req.Header.Set("Content-Type", cborType)
	resp, err := p.client.Do(req)
	if err != nil {
		return d, errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read or is given up
	if resp.StatusCode != http.StatusOK {
		return d, fmt.Errorf("host at %s answered with status %d; ask another one", peer, resp.StatusCode)
	}
	held, err := p.host.pool.Read(resp.Body, maxDigest)
	if err != nil {
		return d, errors.Trace(err)
	}
	defer held.Release()
	if err := cbor.Unmarshal(held.Bytes, &d); err != nil {
		return d, errors.Annotatef(err, "decode the digest of the host at %s; run the same version on all hosts", peer)
	}
	if !known.Brief {
		p.refreshed = wire.Boot()
	}
	return d, nil
}

// tell answers hosts that ask what the stores hold.
func (h *Host) tell(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxCursor))
	if err != nil {
		http.Error(w, "the cursor cannot be read", http.StatusBadRequest)
		return
	}
	var known stash.Cursor
	if err := cbor.Unmarshal(b, &known); err != nil {
		http.Error(w, "the cursor cannot be decoded; send that of the last digest", http.StatusBadRequest)
		return
	}
	h.stash.Wait(r.Context(), known, peerWait)
	out, err := cbor.Marshal(h.stash.Digest(known))
	if err != nil {
		http.Error(w, "the digest cannot be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", cborType)
	_, _ = w.Write(out) // the reader has gone away
}

func (h *Host) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+peerPath, h.tell)
	return mux
}
