package cmd

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/loadtester"
)

// defaultSettle is how long after the last outcome the servers' executions are read.
const defaultSettle = time.Second

// loadCommand returns the subcommand that sends open-loop load.
func loadCommand() command {
	return command{name: "load", summary: "send open-loop load to entries and count what came of it", run: runLoad}
}

// loadFlags are the flags of load.
type loadFlags struct {
	set        *flag.FlagSet
	plan       string
	entries    string
	executions string
	format     string
	settle     time.Duration
	progress   int
	rate       float64
	count      int
	duration   time.Duration
	seed       uint64
	class      loadtester.Class
}

func newLoadFlags(stderr io.Writer) *loadFlags {
	f := &loadFlags{set: flag.NewFlagSet("wasabibank load", flag.ContinueOnError)}
	f.set.SetOutput(stderr)
	f.set.StringVar(&f.entries, "entries", "", "clients' ports of the entries, host:port, comma between")
	f.set.StringVar(&f.executions, "executions", "", "stand-in servers or collectors to count executions at, host:port, comma between")
	f.set.StringVar(&f.plan, "plan", "", "YAML file with rate, keys and classes; flags that are given go before it")
	f.set.StringVar(&f.format, "format", "text", "text, json or line")
	f.set.DurationVar(&f.settle, "settle", defaultSettle, "time from the last outcome to the reading of executions")
	f.set.IntVar(&f.progress, "progress", 0, "print a line to stderr after every so many requests; 0 is none")
	f.set.Float64Var(&f.rate, "rate", 0, "requests per second")
	f.set.IntVar(&f.count, "count", 0, "requests to send")
	f.set.DurationVar(&f.duration, "duration", 0, "time for which requests are sent")
	f.set.Uint64Var(&f.seed, "seed", 0, "seed of the sequence of requests")
	f.set.StringVar(&f.class.Host, "host", "", "host of the one class, where there is no plan")
	f.set.StringVar(&f.class.Method, "method", "GET", "method of the one class")
	f.set.StringVar(&f.class.Path, "path", "/", "path of the one class, between slashes; a number follows it")
	f.set.BoolVar(&f.class.Keyed, "keyed", false, "requests of the one class carry a key")
	f.set.BoolVar(&f.class.AtMostOnce, "at-most-once", false, "requests of the one class may not be executed twice")
	f.set.IntVar(&f.class.BodyBytes, "body-bytes", 0, "bytes of each request's body of the one class")
	f.set.IntVar(&f.class.AnswerBytes, "answer-bytes", 0, "bytes of each answer of the one class")
	f.set.DurationVar(&f.class.Timeout, "timeout", 0, "time that the entry may take; 0 is 10 s")
	return f
}

func runLoad(args []string, stdout, stderr io.Writer) ExitCode {
	f := newLoadFlags(stderr)
	if code, ok := parseFlags(f.set, args, 0, 0); !ok {
		return code
	}
	settings, err := f.settings(stderr)
	if err != nil {
		fmt.Fprintf(stderr, "wasabibank load: %v\n", err)
		return ExitUsage
	}
	report, err := f.run(settings)
	if err != nil {
		fmt.Fprintf(stderr, "wasabibank load: %v\n", err)
		return ExitFailure
	}
	if err := f.write(stdout, report); err != nil {
		fmt.Fprintf(stderr, "wasabibank load: %v\n", err)
		return ExitFailure
	}
	if report.Verdict != nil && !report.Passed() {
		return ExitFailure
	}
	return ExitDone
}

// run sends the load and judges it; an interrupt ends the sending.
func (f *loadFlags) run(settings loadtester.Settings) (loadtester.Report, error) {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	tally, err := loadtester.Run(ctx, settings)
	if err != nil {
		return loadtester.Report{}, err
	}
	if f.executions == "" {
		return tally.Report(nil), nil
	}
	time.Sleep(f.settle)
	executions, err := loadtester.FetchExecutions(context.Background(), splitList(f.executions))
	if err != nil {
		return loadtester.Report{}, err
	}
	verdict := tally.Verify(executions)
	return tally.Report(&verdict), nil
}

func (f *loadFlags) settings(stderr io.Writer) (loadtester.Settings, error) {
	plan, err := f.readPlan()
	if err != nil {
		return loadtester.Settings{}, err
	}
	entries := splitList(f.entries)
	if len(entries) == 0 {
		return loadtester.Settings{}, errors.New("needs -entries")
	}
	if f.format != "text" && f.format != "json" && f.format != "line" {
		return loadtester.Settings{}, errors.Errorf("format %q is none of text, json, line", f.format)
	}
	run := strconv.FormatInt(time.Now().UnixNano(), 36)
	settings := loadtester.Settings{Plan: plan, Entries: entries, RunID: run}
	if f.progress > 0 {
		settings.Progress = func(sent int) {
			if sent%f.progress == 0 {
				fmt.Fprintf(stderr, "sent %d\n", sent)
			}
		}
	}
	return settings, nil
}

// readPlan returns the plan of the file, or one of a single class, with the flags that were given.
func (f *loadFlags) readPlan() (loadtester.Plan, error) {
	f.class.Name = "load"
	plan := loadtester.Plan{Classes: []loadtester.Class{f.class}}
	if f.plan != "" {
		raw, err := os.ReadFile(f.plan)
		if err != nil {
			return plan, errors.Wrap(err, "read plan")
		}
		if plan, err = loadtester.DecodePlan(raw); err != nil {
			return plan, err
		}
	}
	if f.rate > 0 {
		plan.Rate = f.rate
	}
	if f.count > 0 {
		plan.Count, plan.Duration = f.count, 0
	}
	if f.duration > 0 {
		plan.Count, plan.Duration = 0, f.duration
	}
	if f.seed > 0 {
		plan.Seed = f.seed
	}
	return plan, nil
}

func (f *loadFlags) write(stdout io.Writer, report loadtester.Report) error {
	switch f.format {
	case "json":
		encoder := json.NewEncoder(stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	case "line":
		_, err := fmt.Fprintln(stdout, report.Summary())
		return err
	}
	report.WriteText(stdout)
	return nil
}
