package main

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against wrong usage that exits with the code of a success or a failed run.
func TestUsageErrorsExitWithTwo(t *testing.T) {
	g := NewWithT(t)
	for _, args := range [][]string{
		{"-deployment", "nowhere"},
		{"-scenario", "sunny"},
		{"-seed", "x"},
		{"surplus"},
	} {
		var out, errOut bytes.Buffer
		g.Expect(run(args, &out, &errOut)).To(Equal(exitUsageError), "%v", args)
		g.Expect(out.String()).To(BeEmpty())
		g.Expect(errOut.String()).NotTo(BeEmpty())
	}
}
