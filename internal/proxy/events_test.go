package proxy

import (
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against events that are missing or double after a stream was resumed, and against
// a resumed stream that is refused although its IDs may skip numbers. Each case holds the
// IDs of the events of an attempt and of the one that resumes it; 0 stands for no ID.
func TestEventOrder(t *testing.T) {
	for name, c := range map[string]struct {
		after         string
		first, second []int
		want          []int
		rejected      bool
		// counted is set if other streams have shown that the IDs count events.
		counted bool
	}{
		"next":                          {first: []int{1, 2, 3}, second: []int{4, 5}, want: []int{1, 2, 3, 4, 5}},
		"from the start":                {first: []int{1, 2, 3}, second: []int{1, 2, 3, 4}, want: []int{1, 2, 3, 4}},
		"double later":                  {first: []int{1, 2}, second: []int{3, 2, 4, 4, 5}, want: []int{1, 2, 3, 4, 5}},
		"gap":                           {first: []int{1, 2, 3}, second: []int{5, 6}, want: []int{1, 2, 3}, rejected: true},
		"gap after one event":           {first: []int{1}, second: []int{7, 8}, want: []int{1, 7, 8}},
		"IDs that skip":                 {first: []int{6, 12, 18}, second: []int{21, 27}, want: []int{6, 12, 18, 21, 27}},
		"gap after it went on":          {first: []int{1, 2, 3}, second: []int{4, 6}, want: []int{1, 2, 3, 4, 6}},
		"no ID at first":                {first: []int{1, 2}, second: []int{0, 3}, want: []int{1, 2}, rejected: true},
		"no ID later":                   {first: []int{1, 2}, second: []int{3, 0}, want: []int{1, 2, 3}, rejected: true},
		"no IDs, not resumed":           {first: []int{0, 0}, want: []int{0, 0}},
		"client resumes":                {after: "2", first: []int{1, 2, 3, 4}, second: []int{5}, want: []int{3, 4, 5}},
		"counted, gap after one event":  {counted: true, first: []int{1}, second: []int{7, 8}, want: []int{1}, rejected: true},
		"counted, gap within an answer": {counted: true, first: []int{1, 3}, second: []int{6}, want: []int{1, 3, 6}},
		"counted, next":                 {counted: true, first: []int{1}, second: []int{1, 2, 3}, want: []int{1, 2, 3}},
		"counted, client resumes":       {counted: true, after: "2", first: []int{1, 2, 3}, second: []int{4}, want: []int{3, 4}},
		"client resumes after a gap":    {after: "2", first: []int{5, 6}, second: []int{7}, want: []int{5, 6, 7}},
		"client names no event":         {counted: true, after: "-1", first: []int{1}, second: []int{2}, want: []int{1, 2}},
		"client resumes without an ID":  {after: "x", first: []int{1, 2}, want: []int{1, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			o := eventOrder{numbering: &numbering{}}
			if c.counted {
				o.numbering.consecutive.Store(minConsecutive)
			}
			o.startAfter(c.after)
			got, reason := o.filter(testEvents(c.first))
			g.Expect(reason).To(gomega.BeEmpty())
			got = append([]byte{}, got...)
			o.resume()
			resumed, reason := o.filter(testEvents(c.second))
			g.Expect(reason != "").To(gomega.Equal(c.rejected), reason)
			g.Expect(string(got) + string(resumed)).To(gomega.Equal(string(testEvents(c.want))))
		})
	}
}

// testEvents returns events with the given IDs.
func testEvents(ids []int) []byte {
	var b strings.Builder
	for _, id := range ids {
		if id > 0 {
			fmt.Fprintf(&b, "id: %d\n", id)
		}
		fmt.Fprintf(&b, "data: token %d\n\n", id)
	}
	return []byte(b.String())
}

// Guards against events that are missing in the answer to a caller that takes a stream up, and
// against a refusal of such answers where IDs count tokens.
func TestFirstEventForCallerThatTakesUp(t *testing.T) {
	for name, c := range map[string]struct {
		after    string
		shown    []int
		rejected bool
	}{
		"counts events":       {shown: []int{1, 2, 3}, rejected: true},
		"counts tokens":       {shown: []int{1, 2, 3, 5}},
		"gap between answers": {after: "3", shown: []int{5, 6, 7}, rejected: true},
		"not shown yet":       {shown: []int{1, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			shared := &numbering{}
			shared.consecutive.Store(minConsecutive - 2)
			other := eventOrder{numbering: shared}
			other.startAfter(c.after)
			_, _ = other.filter(testEvents(c.shown))
			o := eventOrder{numbering: shared}
			o.startAfter("2")
			_, reason := o.filter(testEvents([]int{5, 6}))
			g.Expect(reason != "").To(gomega.Equal(c.rejected), reason)
		})
	}
}
