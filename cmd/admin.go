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

// The output formats of the commands that ask admin ports.
const (
	formatText = "text"
	formatJSON = "json"
	formatHTML = "html"
)

// adminFlags are the flags of the commands that ask the admin ports of instances.
type adminFlags struct {
	set     *flag.FlagSet
	formats []string
	admin   string
	format  string
	timeout time.Duration
}

// newAdminFlags returns the flags of the command name; the first of formats is the default.
func newAdminFlags(name, arguments string, formats ...string) *adminFlags {
	f := &adminFlags{set: flag.NewFlagSet(name, flag.ContinueOnError), formats: formats}
	f.set.StringVar(&f.admin, "admin", "", "admin addresses of instances, `host:port[,host:port...]`")
	f.set.StringVar(&f.format, "format", formats[0], "output format: "+strings.Join(formats, ", "))
	f.set.DurationVar(&f.timeout, "timeout", defaultAdminTimeout, "time after which an instance counts as unreachable")
	f.set.Usage = func() {
		fmt.Fprintf(f.set.Output(), "usage: wasabibank %s -admin host:port[,host:port...] [flags]%s\n\nflags:\n", name, arguments)
		f.set.PrintDefaults()
	}
	return f
}

// parse reads args, which must leave count arguments. It returns the addresses, and false with the exit code when
// the command ends here.
func (f *adminFlags) parse(args []string, count int, stdout, stderr io.Writer) ([]string, ExitCode, bool) {
	f.set.SetOutput(stderr)
	if len(args) > 0 && isHelp(args[0]) {
		f.set.SetOutput(stdout)
		f.set.Usage()
		return nil, ExitDone, false
	}
	err := f.set.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return nil, ExitDone, false
	}
	if err != nil {
		return nil, ExitUsage, false
	}
	addresses := splitList(f.admin)
	if err := f.check(addresses, count); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", f.set.Name(), err)
		f.set.Usage()
		return nil, ExitUsage, false
	}
	return addresses, ExitDone, true
}

func (f *adminFlags) check(addresses []string, count int) error {
	if len(addresses) == 0 {
		return errors.New("-admin is required")
	}
	if f.set.NArg() != count {
		return errors.Errorf("%d arguments, want %d", f.set.NArg(), count)
	}
	for _, format := range f.formats {
		if f.format == format {
			return nil
		}
	}
	return errors.Errorf("-format is %q, want one of %s", f.format, strings.Join(f.formats, ", "))
}

func splitList(list string) []string {
	var items []string
	for _, item := range strings.Split(list, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// adminAnswer is what the instance at one admin address answered.
type adminAnswer[T any] struct {
	Address string `json:"address"`
	Answer  T      `json:"answer"`
	Error   string `json:"error,omitempty"`
	err     error
}

// askAll asks the instances at all addresses at once and returns their answers in the order of addresses.
func askAll[T any](addresses []string, timeout time.Duration, ask func(context.Context, *inspector.Client, string) (T, error)) []adminAnswer[T] {
	client := inspector.NewClient(timeout)
	defer client.Close()
	answers := make([]adminAnswer[T], len(addresses))
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() {
			answer, err := ask(context.Background(), client, address)
			answers[i] = adminAnswer[T]{Address: address, Answer: answer, err: err}
			if err != nil {
				answers[i].Error = err.Error()
			}
		})
	}
	group.Wait()
	return answers
}

// reportUnanswered writes a line for each address that gave no answer, and returns the answers that came.
func reportUnanswered[T any](answers []adminAnswer[T], stderr io.Writer) []T {
	var came []T
	for _, a := range answers {
		if a.err != nil {
			fmt.Fprintf(stderr, "%s: no answer: %v\n", a.Address, a.err)
			continue
		}
		came = append(came, a.Answer)
	}
	return came
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// exitFor returns ExitDone when nothing failed.
func exitFor(err error, stderr io.Writer) ExitCode {
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailure
	}
	return ExitDone
}
