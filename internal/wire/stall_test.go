package wire

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a large response on a slow link that is cut off and asked for again,
// and against a call that waits long for a response that never comes.
func TestStallTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	silent := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for range 8 {
			_, _ = w.Write([]byte("data"))
			w.(http.Flusher).Flush()
			time.Sleep(50 * time.Millisecond)
		}
		if r.URL.Path == "/silent" {
			<-silent
		}
	}))
	defer s.Close()
	defer close(silent)
	call := func(path string) (string, bool, error) {
		ctx, cancel := WithStallTimeout(context.Background(), 200*time.Millisecond, 200*time.Millisecond)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL+path, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		resp, err := s.Client().Do(req)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		b, err := io.ReadAll(ProgressReader(ctx, resp.Body))
		return string(b), Progressed(ctx), err
	}
	text, progressed, err := call("/slow")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(text).To(gomega.HaveLen(32))
	g.Expect(progressed).To(gomega.BeTrue())
	start := time.Now()
	_, progressed, err = call("/silent")
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(progressed).To(gomega.BeTrue())
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", time.Second))
	ctx, cancel := WithStallTimeout(context.Background(), 20*time.Millisecond, time.Hour)
	defer cancel()
	<-ctx.Done()
	g.Expect(context.Cause(ctx)).To(gomega.MatchError(ErrStalled))
	g.Expect(Progressed(ctx)).To(gomega.BeFalse())
}
