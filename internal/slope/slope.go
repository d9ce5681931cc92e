// Package slope measures how a cost grows with a size, for the benchmarks
// behind docs/CAPACITY.md.
//
// # Usage
//
// A benchmark calls CPUTime for processor time and Values for anything else, with
// at least four sizes. Both print the least-squares line through the points:
//
//	slope.CPUTime(b, "lookup", []int{10, 20, 40, 80}, func(n int) func() {
//		s := filled(n)
//		return func() { s.Lookup(keys) }
//	})
package slope

import (
	"fmt"
	"math"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Line is a line fitted to measurements, y = Slope*x + Intercept.
type Line struct {
	Slope     float64
	Intercept float64
	// Deviation is the largest vertical distance of a point from the line, as a
	// fraction of the largest absolute value.
	Deviation float64
}

// Fit returns the least-squares line through the points.
func Fit(xs []int, ys []float64) Line {
	var sx, sy, sxx, sxy, largest float64
	for i := range xs {
		x := float64(xs[i])
		sx, sy, sxx, sxy = sx+x, sy+ys[i], sxx+x*x, sxy+x*ys[i]
		largest = max(largest, math.Abs(ys[i]))
	}
	n := float64(len(xs))
	var l Line
	l.Slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	l.Intercept = (sy - l.Slope*sx) / n
	for i := range xs {
		if d := math.Abs(ys[i] - l.Intercept - l.Slope*float64(xs[i])); largest > 0 {
			l.Deviation = max(l.Deviation, d/largest)
		}
	}
	return l
}

// HeapBytes returns the number of heap bytes that the result of build keeps
// reachable.
func HeapBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// CPUTime runs a sub-benchmark for each size and fits the processor time of one
// call of the function that setUp returns. It counts the processor time of the
// whole process, which includes other goroutines and garbage collection and
// depends little on the load of the machine.
func CPUTime(b *testing.B, name string, sizes []int, setUp func(n int) func()) {
	b.Helper()
	CPUTimePerOperation(b, name, sizes, func(int) int { return 1 }, setUp)
}

// CPUTimePerOperation is CPUTime for a function that performs operations(n)
// operations per call; it reports the processor time of one operation.
func CPUTimePerOperation(b *testing.B, name string, sizes []int, operations func(n int) int, setUp func(n int) func()) {
	b.Helper()
	measured := make([]float64, len(sizes))
	for i, n := range sizes {
		b.Run(fmt.Sprintf("%s/n=%d", name, n), func(b *testing.B) {
			f := setUp(n)
			runtime.GC()
			start := processCPUTime()
			for b.Loop() {
				f()
			}
			measured[i] = float64(processCPUTime()-start) / float64(b.N) / float64(operations(n)) / float64(time.Microsecond)
			b.ReportMetric(measured[i], "cpu-µs")
		})
	}
	printFit(b, name, "cpu-µs", sizes, measured)
}

// Values calls measure once for each size and prints the fitted line.
func Values(b *testing.B, name, unit string, sizes []int, measure func(n int) float64) {
	b.Helper()
	measured := make([]float64, len(sizes))
	for i, n := range sizes {
		measured[i] = measure(n)
	}
	printFit(b, name, unit, sizes, measured)
}

// printFit prints the fitted line. It prints nothing if a -bench pattern excluded
// one of the sizes, because that size has no measurement.
func printFit(b *testing.B, name, unit string, sizes []int, measured []float64) {
	b.Helper()
	points := make([]string, len(sizes))
	for i, n := range sizes {
		if measured[i] == 0 {
			return
		}
		points[i] = fmt.Sprintf("%d: %.4g", n, measured[i])
	}
	l := Fit(sizes, measured)
	fmt.Printf("FIT %s %s [%s]: slope %.4g, intercept %.4g, deviation %.0f%%; %s\n",
		b.Name(), name, unit, l.Slope, l.Intercept, 100*l.Deviation, strings.Join(points, ", "))
}

// processCPUTime returns the user and system time that this process has used.
func processCPUTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		panic(err) // RUSAGE_SELF is always valid
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
