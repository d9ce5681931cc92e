package config_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rogpeppe/go-internal/txtar"

	"sesamehill.example/sesamehill/pkg/config"
)

var _ = Describe("LoadSettings", func() {
	load := func(text string) (config.Settings, error) {
		path := filepath.Join(GinkgoT().TempDir(), "host.toml")
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		s, err := config.LoadSettings(path)
		if err != nil {
			err = errors.New(strings.ReplaceAll(err.Error(), path, "host.toml"))
		}
		return s, err
	}

	// Guards against a fault that hides another one, a wrong line and a missing
	// remedy.
	It("reports every fault at once", func() {
		a, err := txtar.ParseFile("testdata/settings.txtar")
		Expect(err).NotTo(HaveOccurred())
		for i := 0; i < len(a.Files); i += 2 {
			_, err := load(string(a.Files[i].Data))
			Expect(err).To(MatchError(strings.TrimSpace(string(a.Files[i+1].Data))), a.Files[i].Name)
		}
	})

	// Guards against defaults that are not applied or that replace an explicit zero.
	It("fills in defaults", func() {
		required := "name='a'\nregion='r'\nzone='z'\nlisten='127.0.0.1:1'\nadmin='127.0.0.1:2'\npeer='127.0.0.1:3'\n" +
			"platform='http://127.0.0.1:4'\n"
		s, err := load(required)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.DrainDelay.AsDuration()).To(Equal(3 * time.Second))
		Expect(s.DrainTimeout.AsDuration()).To(Equal(time.Minute))
		Expect(s.LogLevel).To(Equal("info"))
		s, err = load(required + "lag='0s'\nlevel='warn'\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.DrainDelay.AsDuration()).To(BeZero())
		Expect(s.LogLevel).To(Equal("warn"))
	})

	// Guards against a missing file that is reported as another kind of error.
	It("reports a missing file as a fault", func() {
		_, err := config.LoadSettings("testdata/absent.toml")
		var f *config.FaultsError
		Expect(errors.As(err, &f)).To(BeTrue())
		Expect(f.Faults).To(HaveLen(1))
		Expect(f.Faults[0].Remedy).NotTo(BeEmpty())
	})
})
