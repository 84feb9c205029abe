package kqmeasure

import (
	"fmt"
	"image/color"
	"io"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of the panel of one policy.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Plot writes an SVG image of goodput over time by class, with one panel for
// each policy. Its errors are marked [ErrTrial].
func Plot(w io.Writer, r *Report) error {
	canvas := vgsvg.New(plotWidth, plotHeight*vg.Length(len(r.Runs)))
	tiles := draw.Tiles{Rows: len(r.Runs), Cols: 1}
	page := draw.New(canvas)
	for i := range r.Runs {
		p, err := panel(r, &r.Runs[i])
		if err != nil {
			return err
		}
		p.Draw(tiles.At(page, 0, i))
	}
	_, err := canvas.WriteTo(w)
	return errors.Mark(errors.Wrap(err, "write plot"), ErrTrial)
}

// panel draws the goodput of each class and the offered load of one run.
func panel(r *Report, run *Run) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s, seed %d", r.Scenario, run.Policy, r.Seed)
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "requests a second, completed in time"
	p.Y.Min = 0
	p.Legend.Top = true
	for i, c := range run.Classes {
		if err := addLine(p, c.Name, plotutil.Color(i), run.timeline, func(s timeSlice) int { return s.InTime[c.Name] }); err != nil {
			return nil, err
		}
	}
	offered := func(s timeSlice) int {
		sum := 0
		for _, n := range s.Offered {
			sum += n
		}
		return sum
	}
	return p, addLine(p, "offered", color.Gray{Y: 160}, run.timeline, offered)
}

// addLine adds a line of the counts of each slice, in requests a second.
func addLine(p *plot.Plot, name string, c color.Color, timeline []timeSlice, count func(timeSlice) int) error {
	points := make(plotter.XYs, len(timeline))
	for i, s := range timeline {
		points[i].X = float64(i) * sliceLength.Seconds()
		points[i].Y = float64(count(s)) / sliceLength.Seconds()
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "draw line"), ErrTrial)
	}
	line.Color = c
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}
