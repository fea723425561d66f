package load

import (
	"math"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// Series is a report with its name in the legend of a plot.
type Series struct {
	Name   string
	Report *Report
}

// PlotFirstToken draws the distribution of the time to the first token of one kind of request, one line for each series.
// The file's extension, such as .svg or .png, determines the format. It fails with fault.DiskFailed.
func PlotFirstToken(file, title, call string, series []Series) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "time to first token of " + call + " (ms)"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Label.Text = "percentile"
	p.Legend.Top, p.Legend.Left = false, false
	var lines []any
	for _, s := range series {
		h := s.Report.Group(call).first
		if h.TotalCount() == 0 {
			continue
		}
		var points plotter.XYs
		for percentile := 1.0; percentile < 100; percentile++ {
			points = append(points, plotter.XY{X: math.Max(float64(h.ValueAtQuantile(percentile))/1000, 0.1), Y: percentile})
		}
		lines = append(lines, s.Name, points)
	}
	return save(p, file, lines)
}

// PlotHitRate draws the token hit rate over the time of a run, one point for each window.
func PlotHitRate(file, title string, window time.Duration, series []Series) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = "token hit rate"
	p.Y.Min, p.Y.Max = 0, 1
	var lines []any
	for _, s := range series {
		var points plotter.XYs
		for at := time.Duration(0); at <= s.Report.last(); at += window {
			if part := s.Report.Between(at, at+window); part.PromptTokens > 0 {
				points = append(points, plotter.XY{X: at.Seconds(), Y: part.HitRate})
			}
		}
		lines = append(lines, s.Name, points)
	}
	return save(p, file, lines)
}

func save(p *plot.Plot, file string, lines []any) error {
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fault.Internal.Wrap(err, "cannot draw the plot")
	}
	if err := p.Save(16*vg.Centimeter, 10*vg.Centimeter, file); err != nil {
		return fault.DiskFailed.Wrap(err, "cannot write the plot")
	}
	return nil
}
