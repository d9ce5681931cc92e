package fakes_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/fakes"
	"sesamehill.example/sesamehill/internal/target"
	"sesamehill.example/sesamehill/pkg/chain"
)

// The same specs run in memory and over HTTP, so that both transports follow the
// same rules.
var _ = Describe("Store", func() {
	for _, transport := range []string{"memory", "HTTP"} {
		Context("over "+transport, func() {
			var (
				s      *fakes.Store
				a, b   *fakes.Engine
				link   *fakes.Link
				c      target.Store
				prompt []uint32
				keys   []chain.Key
			)

			BeforeEach(func() {
				s = fakes.NewStore("store", fakes.WithCapacity(2048))
				c = s
				if transport == "HTTP" {
					Expect(s.Serve("127.0.0.1:0")).To(Succeed())
					client := target.NewStore(s.Address())
					DeferCleanup(client.Close)
					c = client
				}
				DeferCleanup(s.Close)
				link = fakes.NewLink(1e9)
				a = newEngine(fakes.WithStores(s))
				b = newEngine(fakes.WithStores(s), fakes.WithLinks(func(string) *fakes.Link { return link }))
				prompt = tokens(0, 2*blockTokens)
				keys = request("", "keeper", prompt).Keys
				runCorrectly(a, request("a", "keeper", prompt))
			})

			export := func(account string) target.ExportResult {
				GinkgoHelper()
				r, err := a.Export(ctx, target.ExportOrder{
					Store: s.Address(), Account: account, ShardKey: keys[0], Keys: keys,
				})
				Expect(err).NotTo(HaveOccurred())
				return r
			}
			importBlock := func(k chain.Key, p target.Pin) error {
				return b.Import(ctx, target.ImportOrder{
					Store: s.Address(), Account: "keeper", Key: k, ShardKey: keys[0], Pin: p,
				})
			}

			// Guards against a wrong answer from imported blocks (P1).
			It("transfers blocks from one engine to another", func() {
				Expect(export("keeper").Committed).To(Equal(keys))
				list, err := c.List(ctx)
				Expect(err).NotTo(HaveOccurred())
				Expect(list).To(HaveLen(2))
				Expect(list[0].ShardKey).To(Equal(keys[0]))
				Expect(list[0].Account).To(Equal("keeper"))
				Expect(c.Usage(ctx)).To(Equal(target.Usage{Used: 1024, Capacity: 2048}))
				for _, k := range keys {
					p, err := c.Pin(ctx, k, time.Minute)
					Expect(err).NotTo(HaveOccurred())
					Expect(importBlock(k, p)).To(Succeed())
					Expect(c.Unpin(ctx, k, p.ID)).To(Succeed())
				}
				Expect(runCorrectly(b, request("b", "keeper", prompt)).CachedTokens).To(Equal(2 * blockTokens))
				Expect(b.Violations()).To(BeEmpty())
			})

			// Guards against the export of another account's blocks (P2).
			It("exports only blocks of the account", func() {
				Expect(export("borough").Committed).To(BeEmpty())
			})

			// Guards against a block that is freed during an import (P1).
			It("refuses to free a pinned block", func() {
				export("keeper")
				p, err := c.Pin(ctx, keys[0], time.Minute)
				Expect(err).NotTo(HaveOccurred())
				var pinned *target.PinnedError
				err = c.Free(ctx, keys[0], p.Generation)
				Expect(errors.As(err, &pinned)).To(BeTrue(), "%v", err)
				Expect(c.Unpin(ctx, keys[0], p.ID)).To(Succeed())
				Expect(c.Free(ctx, keys[0], p.Generation)).To(Succeed())
				var missing *target.MissingError
				err = c.Free(ctx, keys[0], p.Generation)
				Expect(errors.As(err, &missing)).To(BeTrue(), "%v", err)
				_, err = c.Pin(ctx, keys[0], time.Minute)
				Expect(errors.As(err, &missing)).To(BeTrue(), "%v", err)
			})

			// Guards against an import that accepts an expired or unknown pin, a freed
			// block, another generation or corrupted bytes (P1).
			DescribeTable("refuses an import that fails verification", func(invalidate func(p *target.Pin)) {
				export("keeper")
				p, err := c.Pin(ctx, keys[0], 300*time.Millisecond)
				Expect(err).NotTo(HaveOccurred())
				invalidate(&p)
				var missing *target.MissingError
				err = importBlock(keys[0], p)
				Expect(errors.As(err, &missing)).To(BeTrue(), "%v", err)
				v, err := b.Inventory(ctx)
				Expect(err).NotTo(HaveOccurred())
				Expect(v.Blocks).To(BeEmpty())
			},
				Entry("expired pin", func(*target.Pin) { time.Sleep(310 * time.Millisecond) }),
				Entry("pin that expires during the transfer", func(*target.Pin) { link.SetRate(1600) }),
				Entry("unknown pin", func(p *target.Pin) { p.ID = "other" }),
				Entry("another generation", func(p *target.Pin) { p.Generation++ }),
				Entry("corrupted bytes", func(*target.Pin) { s.Corrupt() }),
				Entry("another checksum", func(p *target.Pin) { p.Checksum = "0" }),
			)

			// Guards against a partly written block that is listed or served (P1).
			It("never lists or serves an uncommitted block", func() {
				for _, fault := range []string{"begin", "write"} {
					s.LoseReplies(fault, 1)
					Expect(export("keeper").Committed).To(BeEmpty())
					Expect(c.List(ctx)).To(BeEmpty())
					var missing *target.MissingError
					_, err := c.Pin(ctx, keys[0], time.Minute)
					Expect(errors.As(err, &missing)).To(BeTrue(), "%v", err)
					err = importBlock(keys[0], target.Pin{Generation: 1, Expires: time.Now().Add(time.Minute)})
					Expect(errors.As(err, &missing)).To(BeTrue(), "%v", err)
				}
			})

			// Guards against a store that exceeds its capacity, and against one that
			// retains blocks after a crash.
			It("refuses an export when it is full and loses all blocks when it is killed", func() {
				s.SetCapacity(600)
				r := export("keeper")
				Expect(r.Committed).To(Equal(keys[:1]))
				Expect(r.Refused).To(ContainSubstring("no space"))
				s.Kill()
				var notRun *target.NotRunError
				_, err := c.List(ctx)
				Expect(errors.As(err, &notRun)).To(BeTrue(), "%v", err)
				Expect(s.Restart()).To(Succeed())
				Expect(c.List(ctx)).To(BeEmpty())
			})
		})
	}

	// Guards against transfers that ignore the rate of their link.
	It("counts the bytes on a link and delays the transfer", func() {
		s, l := fakes.NewStore("store"), fakes.NewLink(5120)
		e := newEngine(fakes.WithStores(s), fakes.WithLinks(func(string) *fakes.Link { return l }))
		runCorrectly(e, request("a", "keeper", tokens(0, blockTokens)))
		start := time.Now()
		r, err := e.Export(ctx, target.ExportOrder{
			Store: "store", Account: "keeper", Keys: request("", "keeper", tokens(0, blockTokens)).Keys,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Committed).To(HaveLen(1))
		Expect(l.Bytes()).To(Equal(int64(512)))
		Expect(time.Since(start)).To(BeNumerically(">=", 100*time.Millisecond))
	})
})
