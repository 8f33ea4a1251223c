package cmd

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/inspector"
)

const defaultAdminTimeout = 5 * time.Second

// Output formats of the commands that query admin ports.
const (
	formatText = "text"
	formatJSON = "json"
	formatHTML = "html"
)

// adminFlags are the flags of the commands that query the admin ports of instances.
type adminFlags struct {
	flagSet *flag.FlagSet
	formats []string
	admin   string
	format  string
	timeout time.Duration
}

// newAdminFlags returns the flags of the command name. In the usage, arguments follows the flags: the arguments and, if
// needed, their explanation. The first of formats is the default.
func newAdminFlags(name, arguments string, formats ...string) *adminFlags {
	f := &adminFlags{flagSet: flag.NewFlagSet(name, flag.ContinueOnError), formats: formats}
	f.flagSet.StringVar(&f.admin, "admin", "", "admin addresses of instances, `host:port[,host:port...]`")
	f.flagSet.StringVar(&f.format, "format", formats[0], "output format: "+strings.Join(formats, ", "))
	f.flagSet.DurationVar(&f.timeout, "timeout", defaultAdminTimeout, "time after which an instance counts as unreachable")
	f.flagSet.Usage = func() {
		fmt.Fprintf(f.flagSet.Output(),
			"usage: wasabibank %s -admin host:port[,host:port...] [flags]%s\n\nflags:\n", name, arguments)
		f.flagSet.PrintDefaults()
	}
	return f
}

// parse parses args, which must have argCount arguments after the flags, and returns the admin addresses. If it returns
// false, the command must end with the exit code.
func (f *adminFlags) parse(args []string, argCount int, stdout, stderr io.Writer) ([]string, ExitCode, bool) {
	f.flagSet.SetOutput(stderr)
	if len(args) > 0 && isHelp(args[0]) {
		f.flagSet.SetOutput(stdout)
		f.flagSet.Usage()
		return nil, ExitSuccess, false
	}
	err := f.flagSet.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return nil, ExitSuccess, false
	}
	if err != nil {
		return nil, ExitUsage, false
	}
	addresses := splitList(f.admin)
	if err := f.validate(addresses, argCount); err != nil {
		fmt.Fprintf(stderr, "wasabibank %s: %v\n", f.flagSet.Name(), err)
		f.flagSet.Usage()
		return nil, ExitUsage, false
	}
	return addresses, ExitSuccess, true
}

func (f *adminFlags) validate(addresses []string, argCount int) error {
	if len(addresses) == 0 {
		return errors.New("-admin is required")
	}
	if f.flagSet.NArg() != argCount {
		return errors.Errorf("got %d arguments, want %d", f.flagSet.NArg(), argCount)
	}
	for _, format := range f.formats {
		if f.format == format {
			return nil
		}
	}
	return errors.Errorf("-format is %q, want one of %s", f.format, strings.Join(f.formats, ", "))
}

// adminAnswer is the answer of the instance at one admin address, or the error of the query.
type adminAnswer[T any] struct {
	Address string `json:"address"`
	Answer  T      `json:"answer"`
	Error   string `json:"error,omitempty"`
	err     error
}

// queryAll queries the instances at all addresses concurrently and returns their answers in the order of addresses.
func queryAll[T any](
	addresses []string, timeout time.Duration, query func(context.Context, *inspector.Client, string) (T, error),
) []adminAnswer[T] {
	client := inspector.NewClient(timeout)
	defer client.Close()
	answers := make([]adminAnswer[T], len(addresses))
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() {
			answer, err := query(context.Background(), client, address)
			answers[i] = adminAnswer[T]{Address: address, Answer: answer, err: err}
			if err != nil {
				answers[i].Error = err.Error()
			}
		})
	}
	group.Wait()
	return answers
}

// collectAnswers returns the answers that arrived and writes a line to stderr for each address whose query failed.
func collectAnswers[T any](answers []adminAnswer[T], stderr io.Writer) []T {
	var answered []T
	for _, a := range answers {
		if a.err != nil {
			fmt.Fprintf(stderr, "%s: no answer: %v\n", a.Address, a.err)
			continue
		}
		answered = append(answered, a.Answer)
	}
	return answered
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// reportError writes an err that is not nil to stderr and returns the exit code.
func reportError(err error, stderr io.Writer) ExitCode {
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailure
	}
	return ExitSuccess
}
