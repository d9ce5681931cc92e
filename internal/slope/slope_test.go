package slope

import (
	"math"
	"testing"
)

// Guards against a Deviation that ignores the worst point, and against a heap
// measurement that includes unreachable memory.
func TestFitAndHeap(t *testing.T) {
	l := Fit([]int{10, 20, 40, 80}, []float64{35, 55, 95, 175})
	if math.Abs(l.Slope-2) > 1e-9 || math.Abs(l.Intercept-15) > 1e-9 || l.Deviation > 1e-9 {
		t.Errorf("fit of points on a line is %+v", l)
	}
	if l = Fit([]int{10, 20, 40, 80}, []float64{35, 55, 95, 275}); l.Deviation < 0.05 {
		t.Errorf("fit of points off the line is %+v, want a larger deviation", l)
	}
	const size = 4 << 20
	if got := HeapBytes(func() any { return make([]byte, size) }); math.Abs(got-size) > size/10 {
		t.Errorf("allocation of %d bytes was measured as %g bytes", size, got)
	}
}
