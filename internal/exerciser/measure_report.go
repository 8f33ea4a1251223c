package exerciser

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// column is one measure of a report.
type column[T any] struct {
	name   string // snake case, with its unit
	format string
	value  func(T) float64
}

// row is one line of a report: the same run with several seeds.
type row[T any] struct {
	labels  []string
	results []T
}

// mean returns the mean of a column over the seeds.
func (c column[T]) mean(r row[T]) float64 {
	sum := 0.0
	for _, result := range r.results {
		sum += c.value(result)
	}
	return sum / float64(len(r.results))
}

// report is a table of runs.
type report[T any] struct {
	labels  []string
	columns []column[T]
	rows    []row[T]
}

// print writes the report as aligned text.
func (r report[T]) print(w io.Writer) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, label := range r.labels {
		fmt.Fprintf(tab, "%s\t", label)
	}
	for _, c := range r.columns {
		fmt.Fprintf(tab, "%s\t", c.name)
	}
	fmt.Fprintln(tab)
	for _, line := range r.rows {
		for _, label := range line.labels {
			fmt.Fprintf(tab, "%s\t", label)
		}
		for _, c := range r.columns {
			fmt.Fprintf(tab, c.format+"\t", c.mean(line))
		}
		fmt.Fprintln(tab)
	}
	return errors.Wrap(tab.Flush(), "print report")
}

// writeCSV writes the report with all digits.
func (r report[T]) writeCSV(w io.Writer) error {
	out := csv.NewWriter(w)
	head := append([]string(nil), r.labels...)
	for _, c := range r.columns {
		head = append(head, c.name)
	}
	lines := [][]string{head}
	for _, line := range r.rows {
		fields := append([]string(nil), line.labels...)
		for _, c := range r.columns {
			fields = append(fields, strconv.FormatFloat(c.mean(line), 'g', -1, 64))
		}
		lines = append(lines, fields)
	}
	return errors.Wrap(out.WriteAll(lines), "write CSV")
}

// seedsFrom returns n seeds from first on.
func seedsFrom(first uint64, n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = first + uint64(i)
	}
	return out
}
