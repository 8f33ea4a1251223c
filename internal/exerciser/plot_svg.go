package exerciser

import (
	"fmt"
	"math"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of a plot.
const (
	plotWidth  = 26 * vg.Centimeter
	plotHeight = 13 * vg.Centimeter
)

const (
	legendRoom  = 1.3  // height of the vertical axis over the greatest value
	leastHeight = 0.01 // of the vertical axis
)

// plotReport writes one SVG for each measure and deployment. The first label of a report is the deployment, the last
// the policy; the labels between them are the places on the horizontal axis.
func plotReport[T any](r report[T], name, dir string) error {
	for _, deployment := range distinct(r, func(labels []string) string { return labels[0] }) {
		for _, c := range r.columns {
			file := fmt.Sprintf("%s_%s_%s.svg", name, c.name, deployment)
			if err := plotColumn(r, c, deployment, filepath.Join(dir, file)); err != nil {
				return err
			}
		}
	}
	return nil
}

func plotColumn[T any](r report[T], c column[T], deployment, file string) error {
	p := plot.New()
	p.Title.Text = deployment + ": " + strings.ReplaceAll(c.name, "_", " ")
	p.Y.Min = 0
	p.Legend.Top = true
	places := distinct(r, placeOf)
	for i, policy := range distinct(r, policyOf) {
		line, points, err := plotter.NewLinePoints(pointsOf(r, c, deployment, policy, places))
		if err != nil {
			return errors.Wrap(err, "plot line")
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		points.Color = plotutil.Color(i)
		points.Shape = plotutil.Shape(i)
		p.Add(line, points)
		p.Legend.Add(policy, line, points)
	}
	p.Y.Max = max(p.Y.Max*legendRoom, leastHeight)
	p.NominalX(places...)
	p.X.Tick.Label.Rotation = math.Pi / 3
	p.X.Tick.Label.XAlign = -1
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "save plot")
}

// pointsOf returns the values of a policy at its places.
func pointsOf[T any](r report[T], c column[T], deployment, policy string, places []string) plotter.XYs {
	var out plotter.XYs
	for _, line := range r.rows {
		if line.labels[0] == deployment && policyOf(line.labels) == policy {
			x := slices.Index(places, placeOf(line.labels))
			out = append(out, plotter.XY{X: float64(x), Y: c.mean(line)})
		}
	}
	return out
}

func placeOf(labels []string) string { return strings.Join(labels[1:len(labels)-1], " ") }

func policyOf(labels []string) string { return labels[len(labels)-1] }

// distinct returns the values of key in the order of the rows.
func distinct[T any](r report[T], key func([]string) string) []string {
	var out []string
	for _, line := range r.rows {
		if k := key(line.labels); !slices.Contains(out, k) {
			out = append(out, k)
		}
	}
	return out
}
