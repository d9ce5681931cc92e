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

	"sesamehill.example/sesamehill/internal/bound"
	"sesamehill.example/sesamehill/internal/relay"
	"sesamehill.example/sesamehill/internal/stash"
	"sesamehill.example/sesamehill/internal/wire"
)

const (
	// peerPath is where a host tells others what the stores hold, tablePath where it
	// tells them what the platform's tables say.
	peerPath  = "/stores"
	tablePath = "/tables"
	// peerWait is how long such a call waits for a change, peerTimeout bounds it.
	peerWait    = 200 * time.Millisecond
	peerTimeout = 900 * time.Millisecond
	maxDigest   = 4 << 20
	maxQuestion = 1 << 10
	// refreshPace is the time between two answers about all stores; it keeps those
	// believed that do not change.
	refreshPace = 350 * time.Millisecond
	cborType    = "application/cbor"
)

// ask returns what a host knows about the stores beyond what this one does.
func (p *pollers) ask(ctx context.Context, peer string) (stash.Digest, error) {
	known := p.host.stash.Cursor()
	known.Brief = wire.Boot()-p.refreshed < refreshPace
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var d stash.Digest
	if err := p.host.peers.call(ctx, peer, peerPath, known, &d); err != nil {
		return d, err
	}
	if !known.Brief {
		p.refreshed = wire.Boot()
	}
	return d, nil
}

// peers makes calls to other hosts.
type peers struct {
	client *http.Client
	pool   *bound.Pool
}

func newPeers(p *bound.Pool) *peers {
	return &peers{client: &http.Client{Transport: wire.NewTransport(wire.Kept)}, pool: p}
}

// call sends in to a path of a host and decodes the answer into out.
func (p *peers) call(ctx context.Context, peer, path string, in, out any) error {
	b, err := cbor.Marshal(in)
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
	defer func() { _ = resp.Body.Close() }() // the body has been read or is given up
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("host at %s answered with status %d; ask another one", peer, resp.StatusCode)
	}
	held, err := p.pool.Read(resp.Body, maxDigest)
	if err != nil {
		return errors.Trace(err)
	}
	defer held.Release()
	if err := cbor.Unmarshal(held.Bytes, out); err != nil {
		return errors.Annotatef(err, "decode the answer of the host at %s; run the same version on all hosts", peer)
	}
	return nil
}

// askTable asks a hub for the changes of a table.
func (h *Host) askTable(ctx context.Context, hub string, q relay.Question) (relay.Answer, error) {
	var a relay.Answer
	err := h.peers.call(ctx, hub, tablePath, q, &a)
	return a, err
}

// tellTable answers hosts that ask what a table has changed.
func (h *Host) tellTable(w http.ResponseWriter, r *http.Request) {
	var q relay.Question
	if readQuestion(w, r, &q) {
		writeAnswer(w, h.tables.Tell(q))
	}
}

// readQuestion decodes a question of another host. It answers it if it cannot.
func readQuestion(w http.ResponseWriter, r *http.Request, q any) bool {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxQuestion))
	if err != nil {
		http.Error(w, "the question cannot be read", http.StatusBadRequest)
		return false
	}
	if err := cbor.Unmarshal(b, q); err != nil {
		http.Error(w, "the question cannot be decoded; run the same version on all hosts", http.StatusBadRequest)
		return false
	}
	return true
}

func writeAnswer(w http.ResponseWriter, a any) {
	out, err := cbor.Marshal(a)
	if err != nil {
		http.Error(w, "the answer cannot be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", cborType)
	_, _ = w.Write(out) // the reader has gone away
}

// tell answers hosts that ask what the stores hold.
func (h *Host) tell(w http.ResponseWriter, r *http.Request) {
	var known stash.Cursor
	if !readQuestion(w, r, &known) {
		return
	}
	h.stash.Wait(r.Context(), known, peerWait)
	writeAnswer(w, h.stash.Digest(known))
}

func (h *Host) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+peerPath, h.tell)
	mux.HandleFunc("POST "+tablePath, h.tellTable)
	return mux
}
