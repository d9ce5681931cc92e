package trial_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
	"github.com/pelletier/go-toml/v2"

	"sesamehill.example/sesamehill/internal/place"
	"sesamehill.example/sesamehill/internal/trial"
)

func TestTrial(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "trial")
}

var program string

var _ = BeforeSuite(func() {
	var err error
	program, err = gexec.Build("sesamehill.example/sesamehill/cmd/sesamed")
	Expect(err).NotTo(HaveOccurred())
})

var _ = AfterSuite(gexec.CleanupBuildArtifacts)

// Guards against losses in serving that no test of a single decision shows. The
// bounds are the project's targets: less than half a percent of requests refused
// with free slots, and at most a quarter of the repeated prefill tokens of the
// least-loaded policy. It checks no latencies, which depend on the machine.
var _ = Describe("returning prompts", func() {
	It("run on engines that have their shared parts cached", func(ctx SpecContext) {
		p, err := trial.Load("testdata/returning.toml")
		Expect(err).NotTo(HaveOccurred())
		replay := func(policy place.Policy) *trial.Report {
			r, err := trial.Run(ctx, p, trial.WithProgram(program), trial.WithPolicy(policy), trial.WithSeed(2))
			Expect(err).NotTo(HaveOccurred())
			return r
		}
		own, least := replay(place.Cost), replay(place.LeastLoaded)
		Expect(own.Requests).To(Equal(least.Requests))
		Expect(own.Failed).To(BeZero())
		Expect(float64(own.RefusedWithFreeSlots)).To(BeNumerically("<", 0.005*float64(own.Requests)))
		Expect(own.RepeatedTokens).To(BeNumerically("<=", least.RepeatedTokens/4))
	}, SpecTimeout(time.Minute))
})

// Guards against replaying an invalid pattern with other values than intended.
var _ = Describe("Load and Run", func() {
	It("reject an invalid pattern and name the field to correct", func() {
		b, err := os.ReadFile("testdata/faulty.toml")
		Expect(err).NotTo(HaveOccurred())
		var cases struct {
			Case []struct{ Name, Text, Want string }
		}
		Expect(toml.Unmarshal(b, &cases)).To(Succeed())
		for _, c := range cases.Case {
			file := filepath.Join(GinkgoT().TempDir(), "pattern.toml")
			Expect(os.WriteFile(file, []byte(c.Text), 0o600)).To(Succeed())
			_, err := trial.Load(file)
			Expect(err).To(MatchError(ContainSubstring(c.Want)), c.Name)
		}
	})

	It("fail without the sesamed binary and name the flag", func() {
		p, err := trial.Load("testdata/returning.toml")
		Expect(err).NotTo(HaveOccurred())
		_, err = trial.Run(context.Background(), p, trial.WithProgram("/nowhere/sesamed"))
		Expect(err).To(MatchError(ContainSubstring("-sesamed")))
	})
})
