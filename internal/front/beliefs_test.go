package front

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"sesamehill.example/sesamehill/internal/hail"
	"sesamehill.example/sesamehill/internal/wire"
)

var _ = Describe("named weights", func() {
	var o *operator
	ago := func(version int, age time.Duration, dated bool) {
		o.name("m", named{version: version, at: wire.Boot() - age, dated: dated})
	}
	BeforeEach(func() { o = &operator{log: zap.NewNop(), named: map[string][]named{}} })

	// Guards against an engine two versions behind that counts as behind only since
	// the newest version was named.
	It("counts from the first version that an engine lacks", func() {
		ago(1, time.Minute, true)
		ago(2, 9*time.Second, true)
		ago(3, 100*time.Millisecond, true)
		age, behind := o.Behind("m", 1)
		Expect(behind).To(BeTrue())
		Expect(age).To(BeNumerically("~", 9*time.Second, time.Second))
		age, _ = o.Behind("m", 2)
		Expect(age).To(BeNumerically("<", time.Second))
		_, behind = o.Behind("m", 3)
		Expect(behind).To(BeFalse())
	})

	// Guards against a restarted host that takes weights for just named.
	It("takes weights named before the start for overdue until another host dates them", func() {
		ago(2, 0, false)
		age, _ := o.Behind("m", 1)
		Expect(age).To(Equal(undatedAge))
		Expect(o.Ages()).To(BeEmpty())
		o.Heard("m", hail.Named{Version: 2, Age: 4000})
		age, _ = o.Behind("m", 1)
		Expect(age).To(BeNumerically("~", 4*time.Second, time.Second))
		Expect(o.Ages()).To(HaveKey("m"))
	})

	It("never goes back", func() {
		ago(3, 0, true)
		ago(2, 0, true)
		Expect(o.Models()).To(Equal(map[string]int{"m": 3}))
	})
})
