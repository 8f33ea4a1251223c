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

// defaultSettleTime is the time between the last outcome and the reading of the servers' executions.
const defaultSettleTime = time.Second

// flagClassName is the name in the report of the class that the flags define.
const flagClassName = "load"

// loadCommand returns the command that sends open-loop load.
func loadCommand() command {
	return command{name: "load", summary: "send open-loop load to entry instances and count the outcomes", run: runLoad}
}

// loadFlags are the flags of load.
type loadFlags struct {
	flagSet    *flag.FlagSet
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
	f := &loadFlags{flagSet: flag.NewFlagSet("wasabibank load", flag.ContinueOnError)}
	f.flagSet.SetOutput(stderr)
	f.flagSet.StringVar(&f.entries, "entries", "", "client addresses of the entry instances, host:port[,host:port...]")
	f.flagSet.StringVar(&f.executions, "executions", "",
		"addresses of the collectors that list the executions, host:port[,host:port...]")
	f.flagSet.StringVar(&f.plan, "plan", "",
		"YAML file with rate, keys and classes; -rate, -count, -duration and -seed override it")
	f.flagSet.StringVar(&f.format, "format", "text", "output format: text, json, line")
	f.flagSet.DurationVar(&f.settle, "settle", defaultSettleTime, "time between the last outcome and the reading of executions")
	f.flagSet.IntVar(&f.progress, "progress", 0, "print a line to stderr each time that many requests were sent; 0 prints none")
	f.flagSet.Float64Var(&f.rate, "rate", 0, "requests per second; required without -plan")
	f.flagSet.IntVar(&f.count, "count", 0,
		"number of requests to send; without -plan, this or -duration is required")
	f.flagSet.DurationVar(&f.duration, "duration", 0, "time for which requests are sent")
	f.flagSet.Uint64Var(&f.seed, "seed", 0, "seed of the request sequence")
	f.flagSet.StringVar(&f.class.Host, "host", "", "without -plan: host of the requests")
	f.flagSet.StringVar(&f.class.Method, "method", "GET", "without -plan: method of the requests")
	f.flagSet.StringVar(&f.class.Path, "path", "/",
		"without -plan: path of the requests, with leading and trailing slash; a number follows it")
	f.flagSet.BoolVar(&f.class.Keyed, "keyed", false, "without -plan: requests carry a key")
	f.flagSet.BoolVar(&f.class.AtMostOnce, "at-most-once", false, "without -plan: requests must not be executed twice")
	f.flagSet.IntVar(&f.class.BodyBytes, "body-bytes", 0, "without -plan: size of each request body in bytes")
	f.flagSet.IntVar(&f.class.AnswerBytes, "answer-bytes", 0, "without -plan: size of each answer in bytes")
	f.flagSet.DurationVar(&f.class.Timeout, "timeout", 0,
		"without -plan: time that the entry instance may take for each request; 0 means 10 s")
	return f
}

func runLoad(args []string, stdout, stderr io.Writer) ExitCode {
	f := newLoadFlags(stderr)
	if code, ok := parseFlags(f.flagSet, args, 0, 0); !ok {
		return code
	}
	settings, err := f.settings(stderr)
	if err != nil {
		fmt.Fprintf(stderr, "wasabibank load: %v\n", err)
		return ExitUsage
	}
	report, interrupted, err := f.run(settings)
	if err != nil {
		fmt.Fprintf(stderr, "wasabibank load: %v\n", err)
		return ExitFailure
	}
	if err := f.writeReport(stdout, report); err != nil {
		fmt.Fprintf(stderr, "wasabibank load: %v\n", err)
		return ExitFailure
	}
	if interrupted {
		fmt.Fprintln(stderr, "wasabibank load: ended by a signal")
		return ExitFailure
	}
	if !report.AnswersIntact() || report.Verdict != nil && !report.Passed() {
		return ExitFailure
	}
	return ExitSuccess
}

// run sends the load and, with -executions, verifies the outcomes. An interrupt or SIGTERM ends the sending; interrupted
// reports that.
func (f *loadFlags) run(settings loadtester.Settings) (report loadtester.Report, interrupted bool, err error) {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	tally, err := loadtester.Run(ctx, settings)
	if err != nil {
		return loadtester.Report{}, false, err
	}
	interrupted = ctx.Err() != nil
	if f.executions == "" {
		return tally.Report(nil), interrupted, nil
	}
	time.Sleep(f.settle)
	executions, err := loadtester.FetchExecutions(context.Background(), splitList(f.executions))
	if err != nil {
		return loadtester.Report{}, interrupted, err
	}
	verdict := tally.Verify(executions)
	return tally.Report(&verdict), interrupted, nil
}

func (f *loadFlags) settings(stderr io.Writer) (loadtester.Settings, error) {
	plan, err := f.readPlan()
	if err != nil {
		return loadtester.Settings{}, err
	}
	entries := splitList(f.entries)
	if len(entries) == 0 {
		return loadtester.Settings{}, errors.New("-entries is required")
	}
	if f.format != "text" && f.format != "json" && f.format != "line" {
		return loadtester.Settings{}, errors.Errorf("-format is %q, want one of text, json, line", f.format)
	}
	runID := strconv.FormatInt(time.Now().UnixNano(), 36)
	settings := loadtester.Settings{Plan: plan, Entries: entries, RunID: runID}
	if f.progress > 0 {
		settings.Progress = func(sent int) {
			if sent%f.progress == 0 {
				fmt.Fprintf(stderr, "sent %d\n", sent)
			}
		}
	}
	return settings, nil
}

// readPlan returns the plan in the file of -plan, or else a plan with a single class made from the flags. The flags for
// rate, count, duration and seed override the file.
func (f *loadFlags) readPlan() (loadtester.Plan, error) {
	f.class.Name = flagClassName
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

func (f *loadFlags) writeReport(stdout io.Writer, report loadtester.Report) error {
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
