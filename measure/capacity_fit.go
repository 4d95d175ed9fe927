package measure

import (
	"fmt"
	"io"
	"math"
	"path/filepath"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// capacityQuantity is one thing that a point measures.
type capacityQuantity struct {
	name string
	of   func(p CapacityPoint) float64
}

var capacityQuantities = []capacityQuantity{
	{"controlBytesPerHostSecond", func(p CapacityPoint) float64 { return p.ControlBytes }},
	{"maxControlBytesPerHostSecond", func(p CapacityPoint) float64 { return p.MaxControlBytes }},
	{"datagramsPerHostSecond", func(p CapacityPoint) float64 { return p.Datagrams }},
	{"cpuSecondsPerHostSecond", func(p CapacityPoint) float64 { return p.CPUSeconds }},
	{"heapBytesPerHost", func(p CapacityPoint) float64 { return p.HeapBytes }},
	{"platformReadsPerSecond", func(p CapacityPoint) float64 { return p.PlatformReads }},
}

func bySeries(points []CapacityPoint) (order []string, of map[string][]CapacityPoint) {
	of = make(map[string][]CapacityPoint)
	for _, p := range points {
		if len(of[p.Series]) == 0 {
			order = append(order, p.Series)
		}
		of[p.Series] = append(of[p.Series], p)
	}
	return order, of
}

func fitCapacity(points []CapacityPoint) []CapacityFit {
	var out []CapacityFit
	order, of := bySeries(points)
	for _, series := range order {
		if len(of[series]) < 2 {
			continue
		}
		for _, q := range capacityQuantities {
			var xs, ys []float64
			for _, p := range of[series] {
				xs, ys = append(xs, float64(p.X)), append(ys, q.of(p))
			}
			f := leastSquares(xs, ys)
			f.Series, f.Quantity = series, q.name
			out = append(out, f)
		}
	}
	return out
}

// leastSquares fits a line to at least two points with different xs.
func leastSquares(xs, ys []float64) CapacityFit {
	n := float64(len(xs))
	var mx, my, sxx, sxy, rest float64
	for i := range xs {
		mx, my = mx+xs[i]/n, my+ys[i]/n
	}
	for i := range xs {
		sxx += (xs[i] - mx) * (xs[i] - mx)
		sxy += (xs[i] - mx) * (ys[i] - my)
	}
	f := CapacityFit{Slope: sxy / sxx}
	f.Intercept = my - f.Slope*mx
	for i := range xs {
		d := ys[i] - f.Intercept - f.Slope*xs[i]
		rest += d * d / n
	}
	f.Residual = math.Sqrt(rest)
	return f
}

// WriteCapacityTable writes the points and the fits as tables.
func WriteCapacityTable(w io.Writer, points []CapacityPoint, fits []CapacityFit) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "series\tx\tlive\tcontrol B/s\tmax B/s\tdatagrams/s\tCPU ms/s\theap KB\treads/s\twrites/s\t")
	for _, p := range points {
		fmt.Fprintf(t, "%s\t%d\t%.3f\t%.0f\t%.0f\t%.1f\t%.3f\t%.0f\t%.1f\t%.1f\t\n", p.Series, p.X, p.LiveShare,
			p.ControlBytes, p.MaxControlBytes, p.Datagrams, p.CPUSeconds*1000, p.HeapBytes/1000, p.PlatformReads, p.PlatformWrites)
	}
	fmt.Fprintln(t, "\t\t\t\t\t\t\t\t\t\t")
	fmt.Fprintln(t, "series\tquantity\tintercept\tslope\tresidual\t")
	for _, f := range fits {
		fmt.Fprintf(t, "%s\t%s\t%.4g\t%.4g\t%.4g\t\n", f.Series, f.Quantity, f.Intercept, f.Slope, f.Residual)
	}
	return t.Flush()
}

// PlotCapacity writes a plot of control bytes and one of the heap against the
// hosts of a group to capacity-control and capacity-heap in a directory, each as
// SVG and PNG.
func PlotCapacity(dir string, points []CapacityPoint) error {
	_, of := bySeries(points)
	curves := []struct {
		file, y string
		lines   []capacityQuantity
	}{
		{"capacity-control", "bytes a second and host", capacityQuantities[:2]},
		{"capacity-heap", "heap bytes a host", capacityQuantities[4:5]},
	}
	for _, c := range curves {
		p := plot.New()
		p.X.Label.Text, p.Y.Label.Text, p.Y.Min = "hosts in the group", c.y, 0
		var lines []any
		for _, q := range c.lines {
			var xys plotter.XYs
			for _, point := range of["hosts"] {
				xys = append(xys, plotter.XY{X: float64(point.X), Y: q.of(point)})
			}
			lines = append(lines, q.name, xys)
		}
		if err := plotutil.AddLinePoints(p, lines...); err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		p.Legend.Left = true
		for _, end := range []string{".svg", ".png"} {
			if err := p.Save(16*vg.Centimeter, 10*vg.Centimeter, filepath.Join(dir, c.file+end)); err != nil {
				return fmt.Errorf("plot: %w", err)
			}
		}
	}
	return nil
}
