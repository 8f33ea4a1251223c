package cmd

import (
	"context"
	"flag"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/configurer"
	"github.com/wasabibank/wasabibank/internal/reducer"
	"github.com/wasabibank/wasabibank/internal/tailer"
	"github.com/wasabibank/wasabibank/pkg/identifier"
	"github.com/wasabibank/wasabibank/pkg/reporter/parser"
)

// The times of operators' reads of the log.
const (
	defaultLogTimeout = 30 * time.Second
	logPollWait       = time.Second
	logRetryPause     = 250 * time.Millisecond
)

// logFlags are the flags of the verbs that read the log.
type logFlags struct {
	settings string
	log      string
	timeout  time.Duration
}

func (f *logFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&f.settings, "settings", "", "settings of an entry, for log_addresses and first_signers")
	flags.StringVar(&f.log, "log", "", "IP:port of the log, in place of log_addresses")
	flags.DurationVar(&f.timeout, "timeout", defaultLogTimeout, "how long to wait for the log")
}

// logReader folds the platform's log for an operator.
type logReader struct {
	clients []*tailer.Client
	genesis reducer.Genesis
	entries []reducer.Entry
	state   *reducer.State
}

// open reads the settings and folds all that the log retains.
func (f *logFlags) open(ctx context.Context) (*logReader, error) {
	raw, err := parser.ReadFile(f.settings)
	if err != nil {
		return nil, err
	}
	settings, err := configurer.Decode(f.settings, raw)
	if err != nil {
		return nil, err
	}
	addresses := settings.LogAddresses()
	if f.log != "" {
		addresses = []string{f.log}
	}
	r := &logReader{genesis: reducer.Genesis{FirstSigners: settings.FirstSigners()}}
	for _, address := range addresses {
		r.clients = append(r.clients, tailer.NewClient(address))
	}
	if err := r.load(ctx); err != nil {
		r.close()
		return nil, err
	}
	return r, nil
}

func (r *logReader) close() {
	for _, client := range r.clients {
		client.Close()
	}
}

// load folds all that the log retains. It starts again when records expire while it reads.
func (r *logReader) load(ctx context.Context) error {
	from := identifier.Offset(0)
	for {
		entries, err := r.readFrom(ctx, from)
		if expired, ok := tailer.AsErrExpired(err); ok {
			from = expired.FirstRetained()
			continue
		}
		if err != nil {
			return err
		}
		r.entries = entries
		r.state, err = reducer.Load(r.genesis, entries)
		return err
	}
}

// readFrom reads all records from an offset to the log's tail.
func (r *logReader) readFrom(ctx context.Context, from identifier.Offset) ([]reducer.Entry, error) {
	var entries []reducer.Entry
	for {
		page, err := r.read(ctx, from, 0)
		if err != nil {
			return nil, err
		}
		entries = append(entries, entriesOf(page)...)
		from += identifier.Offset(len(page.Records))
		if len(page.Records) == 0 || from >= page.Next {
			return entries, nil
		}
	}
}

func entriesOf(page tailer.Page) []reducer.Entry {
	entries := make([]reducer.Entry, 0, len(page.Records))
	for _, record := range page.Records {
		entries = append(entries, reducer.Entry{Offset: record.Offset, Data: record.Data})
	}
	return entries
}

// read reads one page from the first address that answers, and tries again until ctx ends.
func (r *logReader) read(ctx context.Context, from identifier.Offset, wait time.Duration) (tailer.Page, error) {
	for {
		var last error
		for _, client := range r.clients {
			page, err := client.Read(ctx, from, tailer.MaxPageRecords, wait)
			if err == nil || tailer.IsErrExpired(err) {
				return page, err
			}
			last = err
		}
		if err := pauseLog(ctx, logRetryPause); err != nil {
			return tailer.Page{}, errors.WithMessage(last, "log not read in time")
		}
	}
}

// append appends data through the first address that takes it, once each.
func (r *logReader) append(ctx context.Context, data []byte) error {
	var last error
	for _, client := range r.clients {
		_, last = client.Append(ctx, [][]byte{data})
		if last == nil || tailer.IsErrTooLarge(last) {
			return last
		}
	}
	return last
}

// advance folds what is new in the log and returns the first verdict on the record id, or nil.
func (r *logReader) advance(ctx context.Context, id identifier.RecordID, wait time.Duration) (reducer.Verdict, error) {
	page, err := r.read(ctx, r.state.Next(), wait)
	if err != nil {
		return nil, err
	}
	var found reducer.Verdict
	for _, entry := range entriesOf(page) {
		verdict, err := r.state.Apply(entry.Offset, entry.Data)
		if err != nil {
			return nil, err
		}
		r.entries = append(r.entries, entry)
		if found == nil && recordIDOf(verdict) == id {
			found = verdict
		}
	}
	return found, nil
}

func recordIDOf(verdict reducer.Verdict) identifier.RecordID {
	switch v := verdict.(type) {
	case reducer.Accepted:
		return v.Envelope.ID()
	case reducer.Refused:
		return v.Envelope.ID()
	default:
		return ""
	}
}

// pauseLog waits for d, or returns ctx's error when that ends first.
func pauseLog(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
