package gossip

import (
	"errors"
	"math"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sesamehill.example/sesamehill/internal/fleet"
	"sesamehill.example/sesamehill/internal/relay"
	"sesamehill.example/sesamehill/internal/roll"
)

// Guards against numbers in a datagram that make loads or times overflow: a table would
// count as current for ever, and its changes would no longer be read.
var _ = DescribeTable(
	"a message with a number out of range is refused",
	func(m Message) {
		m.Host = "a"
		b, err := cbor.Marshal(m)
		Expect(err).NotTo(HaveOccurred())
		_, err = decodeMessage(b)
		var refused *RangeError
		Expect(err).To(HaveOccurred())
		Expect(errors.As(err, &refused)).To(BeTrue(), err.Error())
		Expect(len(err.Error())).To(BeNumerically("<", 300))
	},
	Entry("calls", Message{InFlight: map[string]fleet.InFlight{"e": {Calls: math.MaxInt64}}}),
	Entry("tokens", Message{InFlight: map[string]fleet.InFlight{"e": {Tokens: math.MinInt64}}}),
	Entry("a table in the future", Message{Tables: map[string]relay.TableVersion{"servers": {Version: 4, AgeMs: -1 << 40}}}),
	Entry("an age that overflows", Message{Tables: map[string]relay.TableVersion{"servers": {Version: 4, AgeMs: math.MaxInt64}}}),
	Entry("a rate that is no number", Message{RateLimits: map[string]fleet.Limit{"e": {PerSecond: math.NaN()}}}),
	Entry("a desired version", Message{Desired: map[string]DesiredVersion{"m": {Version: math.MaxInt64}}}),
	Entry("the age of a desired version", Message{Desired: map[string]DesiredVersion{"m": {Version: 1, AgeMs: -5}}}),
	Entry("the time of an announcement", Message{Desired: map[string]DesiredVersion{"m": {Version: 1, AtMs: math.MaxInt64}}}),
	Entry("a version that was replaced", Message{Replaced: map[string][]DesiredVersion{"m": {{Version: 2, Previous: -1}}}}),
	Entry("the time of sending", Message{SentMs: math.MinInt64}),
	Entry("a desired version of another host", Message{DesiredByHost: map[string]map[string]DesiredVersion{"b": {"m": {Version: -1}}}}),
	Entry("a loaded version", Message{Progress: &roll.Progress{Loaded: map[string]map[string]int{"e": {"m": math.MaxInt64}}}}),
)

var _ = Describe("a message", func() {
	It("is accepted with loads below zero, which are differences", func() {
		m := Message{Host: "a", InFlight: map[string]fleet.InFlight{"e": {Calls: -1, Tokens: -700}}}
		b, err := cbor.Marshal(m)
		Expect(err).NotTo(HaveOccurred())
		Expect(decodeMessage(b)).To(Equal(m))
	})
})
