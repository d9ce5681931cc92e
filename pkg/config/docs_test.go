package config_test

import (
	"maps"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/pkg/config"
)

var docRow = regexp.MustCompile("(?m)^\\| `([a-z.]+)` \\| ([^|]+) \\| ([^|]*) ?\\| ([^|]+) \\| ([^|]+) \\|$")

// keyTypes adds the keys of a struct to all, with the names that the page uses for
// their types.
func keyTypes(t reflect.Type, path string, all map[string]string) {
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ",")
		ft := t.Field(i).Type
		switch {
		case ft == reflect.TypeFor[config.Duration]():
			all[path+name] = "duration"
		case ft.Kind() == reflect.Struct:
			keyTypes(ft, path+name+".", all)
		case ft.Kind() == reflect.Slice && ft.Elem().Kind() == reflect.Struct:
			keyTypes(ft.Elem(), path+name+".", all)
		case ft == reflect.TypeFor[[]string]():
			all[path+name] = "list of strings"
		default:
			all[path+name] = map[reflect.Kind]string{
				reflect.String: "string", reflect.Bool: "boolean", reflect.Float64: "number",
				reflect.Int: "whole number", reflect.Int64: "whole number",
			}[ft.Kind()]
		}
	}
}

// Guards against a page that omits a key, lists one that does not exist, or states
// a wrong type or default.
var _ = Describe("docs/config.md", func() {
	page, err := os.ReadFile("../../docs/config.md")
	document, settings, found := strings.Cut(string(page), "\n## Settings\n")
	DescribeTable("lists exactly the keys of the struct", func(section *string, t reflect.Type) {
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeTrue())
		want, got := map[string]string{}, map[string]string{}
		keyTypes(t, "", want)
		for _, m := range docRow.FindAllStringSubmatch(*section, -1) {
			Expect(got).NotTo(HaveKey(m[1]), "a key is listed twice")
			got[m[1]] = m[2]
		}
		Expect(slices.Sorted(maps.Keys(got))).To(Equal(slices.Sorted(maps.Keys(want))))
		Expect(got).To(Equal(want))
	},
		Entry("document", &document, reflect.TypeFor[config.Document]()),
		Entry("settings", &settings, reflect.TypeFor[config.Settings]()),
	)

	It("states the defaults of the settings", func() {
		defaults := map[string]string{}
		for _, m := range docRow.FindAllStringSubmatch(settings, -1) {
			defaults[m[1]] = m[4]
		}
		Expect(defaults["lag"]).To(HavePrefix(time.Duration(config.DefaultDrainDelay).String() + ","))
		Expect(defaults["limit"]).To(HavePrefix(time.Duration(config.DefaultDrainTimeout).String() + ","))
		Expect(defaults["level"]).To(Equal(config.DefaultLogLevel))
	})

	// "required" on the page means that an empty value is a fault.
	It("marks exactly those keys as required that are faults in an empty document", func() {
		d := config.Document{
			// With an empty region name, the empty names in the link would be valid
			// references to it.
			Regions: []config.Region{{Name: "r"}}, Links: []config.Link{{}}, Models: []config.Model{{}},
			Services: []config.Service{{Paths: []config.Path{{}}}}, Accounts: []config.Account{{}},
		}
		faulty := map[string]bool{}
		index := regexp.MustCompile(`\[\d+\]`)
		faults := d.Check()
		d.Regions[0].Name = ""
		for _, f := range append(faults, d.Check()...) {
			faulty[index.ReplaceAllString(f.Key, "")] = true
		}
		for _, m := range docRow.FindAllStringSubmatch(document, -1) {
			Expect(strings.HasPrefix(m[4], "required")).To(Equal(faulty[m[1]]), m[1])
		}
	})
})
