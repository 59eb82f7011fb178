package report

import (
	"bytes"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Series is one line of a line chart or one group of a bar chart.
type Series struct {
	Name string
	// X is unused in bar charts.
	X, Y []float64
}

// BarChart holds the data of a bar chart: for each label, one bar of each group.
type BarChart struct {
	Labels []string
	Groups []Series
}

// Dimensions of the charts.
const (
	drawingWidth  = 30 * vg.Centimeter
	drawingHeight = 10 * vg.Centimeter
	barWidth      = vg.Length(7)
	lineWidth     = vg.Length(1.5)
)

// Bars renders a bar chart as SVG.
func Bars(title, axis string, chart BarChart) (string, error) {
	p := newPlot(title, "", axis)
	p.Y.Min = 0
	for i, group := range chart.Groups {
		bars, err := plotter.NewBarChart(plotter.Values(group.Y), barWidth)
		if err != nil {
			return "", err
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = (vg.Length(i) - vg.Length(len(chart.Groups)-1)/2) * barWidth
		p.Add(bars)
		p.Legend.Add(group.Name, bars)
	}
	p.NominalX(chart.Labels...)
	return svg(p)
}

// Lines renders a line chart as SVG, with the Y axis from 0 to 1. Series without
// points are omitted.
func Lines(title, x, y string, lines []Series) (string, error) {
	p := newPlot(title, x, y)
	p.Y.Min, p.Y.Max = 0, 1
	for i, series := range lines {
		if len(series.Y) == 0 {
			continue
		}
		points := make(plotter.XYs, len(series.Y))
		for j := range points {
			points[j] = plotter.XY{X: series.X[j], Y: series.Y[j]}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color = plotutil.Color(i)
		line.Width = lineWidth
		p.Add(line)
		p.Legend.Add(series.Name, line)
	}
	return svg(p)
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	return p
}

// svg renders a plot as SVG without the XML header, so that it can be embedded in
// HTML.
func svg(p *plot.Plot) (string, error) {
	canvas := vgsvg.New(drawingWidth, drawingHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	text := out.String()
	if at := strings.Index(text, "<svg"); at > 0 {
		text = text[at:]
	}
	return text, nil
}
