package loadgen

import (
	"bytes"
	"fmt"
	"html"
	"io"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Size of the plot in pixels.
const (
	plotWidth, plotHeight = 800, 440
	plotLeft, plotRight   = 70, 170
	plotTop, plotBottom   = 30, 50
	innerWidth            = plotWidth - plotLeft - plotRight
	innerHeight           = plotHeight - plotTop - plotBottom
)

// maxNines is the percentile at the right end of the axis, as a number of nines: 5 is 99.999 %.
const maxNines = 5

// pointsPerNine is the number of points of a curve per nine.
const pointsPerNine = 20

var curveColours = []string{"#1b6ca8", "#2e8b57", "#c46210", "#7d3c98", "#b03a2e", "#555555"}

// curve is the latency in milliseconds by percentile. The percentile axis is linear in the number of nines, so that the tail
// gets as much space as the rest.
type curve struct {
	name   string
	points []point
}

type point struct{ nines, latency float64 }

func newCurve(name string, histogram *hdrhistogram.Histogram) curve {
	c := curve{name: name}
	// With n samples, all percentiles above 1 - 1/n are the maximum, so the curve ends there.
	lastNines := math.Min(math.Log10(float64(histogram.TotalCount())), maxNines)
	for i := range maxNines*pointsPerNine + 1 {
		nines := float64(i) / pointsPerNine
		if nines > lastNines {
			break
		}
		percentile := 100 * (1 - math.Pow(10, -nines))
		c.points = append(c.points, point{nines, milliseconds(histogram.ValueAtPercentile(percentile))})
	}
	return c
}

// axis is the logarithmic latency axis, from 10^low to 10^high milliseconds.
type axis struct{ low, high int }

func newAxis(curves []curve) axis {
	lowest, highest := math.Inf(1), 0.0
	for _, c := range curves {
		for _, p := range c.points {
			lowest, highest = math.Min(lowest, p.latency), math.Max(highest, p.latency)
		}
	}
	if highest == 0 {
		return axis{0, 1}
	}
	low := int(math.Floor(math.Log10(math.Max(lowest, 0.001))))
	return axis{low, max(int(math.Ceil(math.Log10(highest))), low+1)}
}

func (a axis) y(latency float64) float64 {
	fraction := (math.Log10(math.Max(latency, 0.001)) - float64(a.low)) / float64(a.high-a.low)
	return plotTop + innerHeight*(1-fraction)
}

func x(nines float64) float64 {
	return plotLeft + innerWidth*nines/maxNines
}

// WriteSVG writes a plot of latency by percentile.
func (r *Report) WriteSVG(w io.Writer) error {
	var svg bytes.Buffer
	fmt.Fprintf(&svg, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n",
		plotWidth, plotHeight)
	fmt.Fprint(&svg, `<rect width="100%" height="100%" fill="white"/>`+"\n")
	writeText(&svg, plotLeft, 18, "start", fmt.Sprintf("latency by percentile, %.0f requests/s to %s", r.OfferedRate, r.URL))
	scale := newAxis(r.curves)
	writeGrid(&svg, scale)
	for i, c := range r.curves {
		writeCurve(&svg, scale, c, i)
	}
	fmt.Fprint(&svg, "</svg>\n")
	_, err := w.Write(svg.Bytes())
	return err
}

func writeGrid(svg *bytes.Buffer, scale axis) {
	for nines := range maxNines + 1 {
		at := x(float64(nines))
		writeLine(svg, at, plotTop, at, plotTop+innerHeight)
		label := fmt.Sprintf("%g %%", math.Round(1e5*100*(1-math.Pow(10, -float64(nines))))/1e5)
		writeText(svg, at, plotTop+innerHeight+18, "middle", label)
	}
	writeText(svg, plotLeft+innerWidth/2, plotHeight-10, "middle", "percentile")
	for power := scale.low; power <= scale.high; power++ {
		latency := math.Pow(10, float64(power))
		writeLine(svg, plotLeft, scale.y(latency), plotLeft+innerWidth, scale.y(latency))
		writeText(svg, plotLeft-6, scale.y(latency)+4, "end", fmt.Sprintf("%g ms", latency))
	}
}

func writeCurve(svg *bytes.Buffer, scale axis, c curve, index int) {
	colour := curveColours[index%len(curveColours)]
	fmt.Fprintf(svg, `<polyline fill="none" stroke-width="1.5" stroke="%s" points="`, colour)
	for _, p := range c.points {
		fmt.Fprintf(svg, "%.1f,%.1f ", x(p.nines), scale.y(p.latency))
	}
	fmt.Fprint(svg, `"/>`+"\n")
	y := float64(plotTop + 16 + 18*index)
	fmt.Fprintf(svg, `<rect x="%d" y="%.0f" width="12" height="3" fill="%s"/>`+"\n", plotWidth-plotRight+14, y-5, colour)
	writeText(svg, plotWidth-plotRight+32, y, "start", c.name)
}

func writeLine(svg *bytes.Buffer, x1, y1, x2, y2 float64) {
	fmt.Fprintf(svg, `<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" stroke="#dddddd"/>`+"\n", x1, y1, x2, y2)
}

func writeText(svg *bytes.Buffer, x, y float64, anchor, content string) {
	fmt.Fprintf(svg, `<text x="%.1f" y="%.1f" text-anchor="%s">%s</text>`+"\n", x, y, anchor, html.EscapeString(content))
}
