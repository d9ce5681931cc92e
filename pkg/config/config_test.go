package config_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rogpeppe/go-internal/txtar"

	"sesamehill.example/sesamehill/pkg/config"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

var _ = Describe("ParseDocument", func() {
	// Guards against a fault that hides another one, and against a wrong line.
	It("reports every fault with its line and key", func() {
		archive, err := txtar.ParseFile("testdata/faults.txtar")
		Expect(err).NotTo(HaveOccurred())
		for i := 0; i < len(archive.Files); i += 2 {
			_, err := config.ParseDocument(archive.Files[i].Name, archive.Files[i].Data)
			var f *config.FaultsError
			Expect(errors.As(err, &f)).To(BeTrue(), archive.Files[i].Name)
			want := strings.Split(strings.TrimSpace(string(archive.Files[i+1].Data)), "\n")
			Expect(f.Faults).To(HaveLen(len(want)), err.Error())
			for j, w := range want {
				line, text, _ := strings.Cut(w, " ")
				Expect(fmt.Sprint(f.Faults[j].Line)).To(Equal(line), f.Faults[j].String())
				if text != "TOML syntax" {
					Expect(f.Faults[j].String()).To(HavePrefix(text))
				}
				Expect(f.Faults[j].Remedy).NotTo(BeEmpty())
				Expect(err.Error()).To(ContainSubstring(f.Faults[j].Problem))
			}
		}
	})

	// Guards against example documents that are invalid, and against a Format that
	// loses a value.
	It("accepts the examples, and Format round-trips them", func() {
		files, _ := filepath.Glob("../../examples/*.toml")
		Expect(len(files)).To(BeNumerically(">=", 3))
		for _, name := range files {
			data, err := os.ReadFile(name)
			Expect(err).NotTo(HaveOccurred())
			d, err := config.ParseDocument(name, data)
			Expect(err).NotTo(HaveOccurred())
			out, err := d.Format()
			Expect(err).NotTo(HaveOccurred())
			reparsed, err := config.ParseDocument(name, out)
			Expect(err).NotTo(HaveOccurred(), string(out))
			Expect(reparsed).To(Equal(d))
		}
	})
})
