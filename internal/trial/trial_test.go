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

// Guards against a loss of worth that no test of a single decision shows. The
// bounds are the project's targets: under half a percent of requests refused with
// free slots, and shared parts read again at most a quarter as much as by the
// least loaded engine. It uses no bound on times, which depend on the machine.
var _ = Describe("prompts that return", func() {
	It("are served where their parts are", func(ctx SpecContext) {
		p, err := trial.Load("testdata/returning.toml")
		Expect(err).NotTo(HaveOccurred())
		play := func(policy place.Policy) *trial.Report {
			r, err := trial.Run(ctx, p, trial.WithProgram(program), trial.WithPolicy(policy), trial.WithSeed(2))
			Expect(err).NotTo(HaveOccurred())
			return r
		}
		own, least := play(place.Cost), play(place.LeastLoaded)
		Expect(own.Asked).To(Equal(least.Asked))
		Expect(own.Failed).To(BeZero())
		Expect(float64(own.RefusedFree)).To(BeNumerically("<", 0.005*float64(own.Asked)))
		Expect(own.ReadAgain).To(BeNumerically("<=", least.ReadAgain/4))
	}, SpecTimeout(time.Minute))
})

// Guards against faulty patterns that are played as something else than meant.
var _ = Describe("a pattern", func() {
	It("is refused with the field to correct", func() {
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

	It("is not played without the program", func() {
		p, err := trial.Load("testdata/returning.toml")
		Expect(err).NotTo(HaveOccurred())
		_, err = trial.Run(context.Background(), p, trial.WithProgram("/nowhere/sesamed"))
		Expect(err).To(MatchError(ContainSubstring("-sesamed")))
	})
})
