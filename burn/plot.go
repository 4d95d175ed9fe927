package burn

import (
	"fmt"
	"image/color"
	"math"
	"time"

	"github.com/ansel1/merry/v2"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/cornelbay/cornelbay"
)

// Layout of the plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	plotWindow = 5 * time.Minute
	plotRange  = 6 * time.Hour
	// plotHeadroom scales the y axis to leave room for the legend above the
	// highest rate.
	plotHeadroom = 1.3
	// maxTickIntervals is the maximum number of intervals between ticks, unless
	// even the longest of tickSteps gives more.
	maxTickIntervals = 6
)

// tickSteps are the possible distances between ticks, in minutes.
var tickSteps = []float64{1, 2, 5, 10, 15, 30, 60}

var thresholdColor = color.Gray{Y: 130}

// Plot writes a plot of the services' burn rates over time to a file. It includes
// the thresholds of the alert rules for the service level of the first service
// only. The file extension, such as .svg or .png, sets the format.
func (r *Report) Plot(file string) error {
	p := plot.New()
	p.Title.Text = "Burn rate of the error budget over " + formatWindow(plotWindow)
	p.X.Label.Text = "minutes before now"
	p.Y.Label.Text = "burn rate (1 spends the budget exactly)"
	p.Y.Min = 0
	p.X.Tick.Marker = plot.TickerFunc(minuteTicks)
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	var first float64
	for i, s := range r.Services {
		points := s.points()
		line, err := plotter.NewLine(points)
		if err != nil {
			return merry.Prependf(err, "plot of %s", s.Service)
		}
		line.Color, line.Width = plotutil.Color(i), vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(string(s.Service), line)
		first = min(first, points[0].X)
	}
	if len(r.Services) > 0 {
		if err := addThresholds(p, first, r.Services[0].Level); err != nil {
			return err
		}
	}
	p.Y.Max *= plotHeadroom
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return merry.Prepend(err, "plot")
	}
	return nil
}

// points returns the burn rate over plotWindow at each minute, from the first
// count but at most plotRange ago.
func (s *ServiceReport) points() plotter.XYs {
	first := s.now - int64(plotRange/time.Minute)
	if len(s.minutes) > 0 {
		first = max(first, s.minutes[0].Start)
	}
	var out plotter.XYs
	for m := min(first, s.now-1); m <= s.now; m++ {
		out = append(out, plotter.XY{X: float64(m - s.now), Y: s.burnRate(m, plotWindow).Rate})
	}
	return out
}

// addThresholds draws the thresholds of the alert rules as dashed lines from
// first to now.
func addThresholds(p *plot.Plot, first float64, l cornelbay.ServiceLevel) error {
	for _, rule := range Rules {
		t := rule.Threshold(l)
		line, err := plotter.NewLine(plotter.XYs{{X: first, Y: t}, {X: 0, Y: t}})
		if err != nil {
			return merry.Prepend(err, "plot of thresholds")
		}
		line.Color, line.Dashes = thresholdColor, plotutil.Dashes(1)
		p.Add(line)
		label, err := plotter.NewLabels(plotter.XYLabels{
			XYs:    plotter.XYs{{X: first, Y: t}},
			Labels: []string{fmt.Sprintf(" %s over %s: %.3g", rule.Severity, formatWindow(rule.Long), t)},
		})
		if err != nil {
			return merry.Prepend(err, "plot of thresholds")
		}
		p.Add(label)
	}
	return nil
}

// minuteTicks returns ticks at multiples of one of tickSteps.
func minuteTicks(least, most float64) []plot.Tick {
	step := tickSteps[len(tickSteps)-1]
	for _, s := range tickSteps {
		if (most-least)/s <= maxTickIntervals {
			step = s
			break
		}
	}
	var out []plot.Tick
	for m := math.Ceil(least/step) * step; m <= most; m += step {
		out = append(out, plot.Tick{Value: m, Label: fmt.Sprintf("%.0f", m)})
	}
	return out
}
