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
)

const (
	// peerPath is where a host tells others what the stores hold.
	peerPath = "/stores"
	// peerWait is how long such a call waits for a change, peerTimeout bounds it.
	peerWait    = 200 * time.Millisecond
	peerTimeout = 900 * time.Millisecond
	maxDigest   = 32 << 20
	maxCursors  = 64 << 10
	cborType    = "application/cbor"
)

// ask returns what a host knows about the stores beyond what this one does.
func (p *pollers) ask(ctx context.Context, peer string) (stash.Digest, error) {
	var d stash.Digest
	b, err := cbor.Marshal(p.host.stash.Cursors())
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
	b, err = io.ReadAll(io.LimitReader(resp.Body, maxDigest))
	if err != nil {
		return d, errors.Trace(err)
	}
	return d, errors.Trace(cbor.Unmarshal(b, &d))
}

// tell answers hosts that ask what the stores hold.
func (h *Host) tell(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxCursors))
	if err != nil {
		http.Error(w, "the cursors cannot be read", http.StatusBadRequest)
		return
	}
	var known map[string]stash.Cursor
	if err := cbor.Unmarshal(b, &known); err != nil {
		http.Error(w, "the cursors cannot be decoded; send a map of stores", http.StatusBadRequest)
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
