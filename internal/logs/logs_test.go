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

// output records lines and counts writes. It blocks while its test holds blocked.
type output struct {
	blocked sync.Mutex

	mu     sync.Mutex
	text   bytes.Buffer
	writes int
}

func (o *output) Write(b []byte) (int, error) {
	o.blocked.Lock()
	defer o.blocked.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writes++
	return o.text.Write(b)
}

func (o *output) written() (lines []string, writes int) {
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

	// Guards against a system call for each line.
	It("writes lines in batches and keeps their order", func() {
		for i := range 500 {
			log.Info(strings.Repeat("x", 1+i%7))
		}
		log.Flush()
		lines, writes := out.written()
		Expect(lines).To(HaveLen(500))
		for i, l := range lines {
			Expect(l).To(ContainSubstring(`"msg":"` + strings.Repeat("x", 1+i%7) + `"`))
		}
		Expect(writes).To(BeNumerically("<", 50))
	})

	// Guards against lines that stay queued until the next one arrives.
	It("writes a single line without waiting for more", func() {
		log.Info("first")
		log.Info("second")
		Eventually(func() int { lines, _ := out.written(); return len(lines) }, "1s", "10ms").Should(Equal(2))
	})

	// Guards against requests that block because nothing reads the log output.
	It("drops and counts lines while the output blocks", func() {
		out.blocked.Lock()
		start := time.Now()
		for range 3 * maxQueuedLines {
			log.Info("line")
		}
		Expect(time.Since(start)).To(BeNumerically("<", 5*time.Second))
		out.blocked.Unlock()
		Eventually(func() string {
			lines, _ := out.written()
			return strings.Join(lines, "\n")
		}, "3s", "20ms").Should(ContainSubstring("log lines dropped"))
	})
})
