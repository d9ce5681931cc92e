package kvcat

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/opconf"
	"sesamehill.example/sesamehill/internal/wire"
)

// slowReader lists a store over a slow link: data arrives all the time.
type slowReader struct{ Reader }

func (slowReader) List(ctx context.Context, _ string) (Listing, error) {
	for range 5 {
		select {
		case <-time.After(pollMargin * 3 / 4):
			wire.ReportProgress(ctx)
		case <-ctx.Done():
			return Listing{}, ctx.Err()
		}
	}
	return Listing{Epoch: 1, Next: 1}, nil
}

// Guards against a large store that is listed again and again, and never to its end,
// over a slow link.
func TestListCutOffWhileItProgresses(t *testing.T) {
	g := gomega.NewWithT(t)
	const address = "10.0.0.9:80"
	config, err := opconf.New(opconf.Config{Services: []opconf.Service{
		{Name: "s", Store: &opconf.Store{Address: address, Zone: "z", CapacityTokens: 1000, Managed: true}},
	}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	c := NewCatalog(map[string]string{"z": "r"})
	c.SetStores(config)
	p := NewPoller(c, slowReader{}, address, zap.NewNop())
	g.Expect(p.poll(context.Background())).To(gomega.Succeed())
	_, listed := c.Since(address)
	g.Expect(listed).To(gomega.BeTrue())
}
