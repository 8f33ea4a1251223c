package exerciser

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// Measure runs both comparisons, prints their tables and the targets to w, and writes CSV files and SVG plots into the
// directory dir. It reports whether all promises held; other targets are only printed.
func Measure(o MeasureOptions, dir string, w io.Writer) (bool, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return false, errors.Wrap(err, "make directory")
	}
	balance := measureBalance(o)
	if err := publish(balance, "balance", dir, w); err != nil {
		return false, err
	}
	printVerdicts(w, judgeBalance(balance))
	fmt.Fprintln(w)
	traffic := measureTraffic(o)
	if err := publish(traffic, "traffic", dir, w); err != nil {
		return false, err
	}
	verdicts := judgeTraffic(traffic)
	printVerdicts(w, verdicts)
	return promisesHold(verdicts), nil
}

func promisesHold(verdicts []verdict) bool {
	for _, v := range verdicts {
		if v.safety && !v.met {
			return false
		}
	}
	return true
}

// publish prints a report and writes its files.
func publish[T any](r report[T], name, dir string, w io.Writer) error {
	if err := r.print(w); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(dir, name+".csv"))
	if err != nil {
		return errors.Wrap(err, "create CSV")
	}
	defer file.Close()
	if err := r.writeCSV(file); err != nil {
		return err
	}
	if err := plotReport(r, name, dir); err != nil {
		return err
	}
	return errors.Wrap(file.Close(), "close CSV")
}
