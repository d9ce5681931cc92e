package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLogs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logs")
}

// output counts writes; it blocks while it is held.
type output struct {
	held sync.Mutex

	mu     sync.Mutex
	text   bytes.Buffer
	writes int
}

func (o *output) Write(b []byte) (int, error) {
	o.held.Lock()
	defer o.held.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writes++
	return o.text.Write(b)
}

func (o *output) look() (lines []string, writes int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Split(strings.TrimSpace(o.text.String()), "\n"), o.writes
}

var _ = Describe("a log", func() {
	var out *output
	var log *Log
	BeforeEach(func() {
		out = &output{}
		var err error
		log, err = New(out, "info")
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a call to the system for each line.
	It("writes lines that come together at once, in order", func() {
		for i := range 500 {
			log.Info(strings.Repeat("x", 1+i%7))
		}
		log.Flush()
		lines, writes := out.look()
		Expect(lines).To(HaveLen(500))
		for i, l := range lines {
			Expect(l).To(ContainSubstring(`"msg":"` + strings.Repeat("x", 1+i%7) + `"`))
		}
		Expect(writes).To(BeNumerically("<", 50))
	})

	// Guards against lines that stay unwritten until the next one comes.
	It("writes a single line soon", func() {
		log.Info("first")
		log.Info("second")
		Eventually(func() int { lines, _ := out.look(); return len(lines) }, "1s", "10ms").Should(Equal(2))
	})

	// Guards against requests that wait for the reader of the log.
	It("drops and counts lines while nobody reads", func() {
		out.held.Lock()
		began := time.Now()
		for range 3 * maxLines {
			log.Info("line")
		}
		Expect(time.Since(began)).To(BeNumerically("<", 5*time.Second))
		out.held.Unlock()
		Eventually(func() string {
			lines, _ := out.look()
			return strings.Join(lines, "\n")
		}, "3s", "20ms").Should(ContainSubstring("log lines dropped"))
	})
})
