package trial

import (
	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot writes a chart of the mean value of requests by the second in which they
// were due, with one line per report. The extension of the path selects the format:
// svg, png or pdf.
func Plot(path string, reports []*Report) error {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "worth of a request"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.YOffs = vg.Centimeter
	for i, r := range reports {
		p.Title.Text = r.Pattern
		line, err := plotter.NewLine(points(r))
		if err != nil {
			return errors.Trace(err)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(r.Policy, line)
	}
	return errors.Annotatef(p.Save(plotWidth, plotHeight, path), "write the plot %s; use the extension .svg, .png or .pdf", path)
}

func points(r *Report) plotter.XYs {
	var out plotter.XYs
	for second, c := range r.Series {
		if c.Requests > 0 {
			out = append(out, plotter.XY{X: float64(second), Y: c.Value()})
		}
	}
	return out
}
