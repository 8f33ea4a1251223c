// Package scribe writes the structured log of an instance to standard output, without ever blocking who logs.
package logger

import (
	"flag"
	"io"
	"sync/atomic"

	"k8s.io/klog/v2"
)

// pending is how many lines may wait to be written; further ones are dropped and counted.
const pending = 2048

// together is about how many bytes are written at once.
const together = 64 << 10

// Scribe is a writer that never blocks. Use New.
type Scribe struct {
	keep    func(line []byte)
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a Scribe that writes to w, and gives each line to keep as well, which must not block; nil is nobody.
func New(w io.Writer, keep func(line []byte)) *Scribe {
	s := &Scribe{keep: keep, lines: make(chan []byte, pending), done: make(chan struct{})}
	go s.run(w)
	return s
}

// Write implements io.Writer. A line that finds the buffer full is dropped.
func (s *Scribe) Write(line []byte) (int, error) {
	if s.keep != nil {
		s.keep(line)
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (s *Scribe) Dropped() int64 { return s.dropped.Load() }

// Close writes what waits. What is written after it is dropped.
func (s *Scribe) Close() {
	s.lines <- nil
	<-s.done
}

// run writes the lines that wait together, which saves system calls, until it meets the nil line of Close.
func (s *Scribe) run(w io.Writer) {
	defer close(s.done)
	for open := true; open; {
		line := <-s.lines
		if line == nil {
			return
		}
		for more := true; more && len(line) < together; {
			select {
			case next := <-s.lines:
				line = append(line, next...)
				more, open = next != nil, next != nil
			default:
				more = false
			}
		}
		if _, err := w.Write(line); err != nil {
			s.dropped.Add(1)
		}
	}
}

// Attach makes klog write to s alone.
func (s *Scribe) Attach() error {
	var flags flag.FlagSet
	klog.InitFlags(&flags)
	if err := flags.Set("logtostderr", "false"); err != nil {
		return err
	}
	if err := flags.Set("one_output", "true"); err != nil {
		return err
	}
	if err := flags.Set("stderrthreshold", "FATAL"); err != nil {
		return err
	}
	klog.SetOutput(s)
	return nil
}
