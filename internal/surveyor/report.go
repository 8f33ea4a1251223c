package surveyor

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// slopesFile is the name of the file that the page takes its figures from.
const slopesFile = "slopes.json"

// The size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

func (r Result) print(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "slope\tunit\tintercept\tper unit\tper\tlargest relative error\texponent\tsizes\theld\n")
	for _, s := range r.Slopes {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%.1f %%\t%.2f\t%.0f to %.0f (%d)\t%s\n", s.Name, s.Unit, Figure(s.Intercept),
			Figure(s.PerUnit), s.Per, 100*s.LargestRelativeError, s.Exponent, s.Points[0].X, s.Points[len(s.Points)-1].X, len(s.Points), s.Fixed)
	}
	fmt.Fprintf(table, "\npeak memory\tKiB\t%d\n", r.PeakMemory)
	fmt.Fprintf(table, "\nestimate at the aim\tunit\tvalue\tarithmetic\n")
	for _, e := range r.Estimates {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", e.Name, e.Unit, Figure(e.Value), e.Arithmetic)
	}
	_ = table.Flush()
}

// write writes slopes.json and one plot for each slope.
func (r Result) write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "make directory")
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode slopes")
	}
	if err := os.WriteFile(filepath.Join(dir, slopesFile), append(data, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "write slopes")
	}
	for _, s := range r.Slopes {
		if err := s.plot(filepath.Join(dir, s.Name+".svg")); err != nil {
			return err
		}
	}
	return nil
}

// plot draws the measurements and the line.
func (s Slope) plot(file string) error {
	p := plot.New()
	p.Title.Text = s.Name + " (" + s.Fixed + ")"
	p.X.Label.Text = s.Per
	p.Y.Label.Text = s.Unit
	p.Y.Min = 0
	measured := plotter.XYs{}
	for _, point := range s.Points {
		measured = append(measured, plotter.XY{X: point.X, Y: point.Y})
	}
	scatter, err := plotter.NewScatter(measured)
	if err != nil {
		return errors.Wrap(err, "plot points")
	}
	line := plotter.NewFunction(s.At)
	p.Add(scatter, line)
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "save plot")
}

// ReadResult reads a slopes.json.
func ReadResult(file string) (Result, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Result{}, errors.Wrap(err, "read slopes")
	}
	var r Result
	return r, errors.Wrap(json.Unmarshal(data, &r), "decode slopes")
}
