package server

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/fleet"
)

// Guards against queries that other hosts refuse for their size, so that no start of targets with
// long names is ever confirmed.
func TestStartQueriesFit(t *testing.T) {
	for _, c := range []struct{ nameBytes, names int }{{10, maxStartsQueried}, {60, maxStartsQueried}, {200, 4}, {300, 3}, {1000, 1}, {2000, 0}} {
		g := NewWithT(t)
		var starts []fleet.LinkedStart
		for i := range maxStartsQueried {
			starts = append(starts, fleet.LinkedStart{Target: strings.Repeat(string(rune('a'+i)), c.nameBytes)})
		}
		q := newStartQuery(starts)
		g.Expect(q.Targets).To(HaveLen(c.names), "names of %d bytes", c.nameBytes)
		b, err := cbor.Marshal(q)
		g.Expect(err).NotTo(HaveOccurred())
		w := httptest.NewRecorder()
		(&Host{fleet: fleet.New()}).serveStarts(w, httptest.NewRequest(http.MethodPost, startPath, bytes.NewReader(b)))
		g.Expect(w.Code).To(Equal(http.StatusOK), "names of %d bytes", c.nameBytes)
	}
}
