// Package logger writes the structured log of an instance to standard output without ever blocking the caller.
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

// AsyncWriter is a writer that never blocks. Use New.
type AsyncWriter struct {
	keep    func(line []byte)
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns an AsyncWriter that writes to w. Each line is also passed to keep, which must not block and may be nil.
func New(w io.Writer, keep func(line []byte)) *AsyncWriter {
	s := &AsyncWriter{keep: keep, lines: make(chan []byte, pending), done: make(chan struct{})}
	go s.run(w)
	return s
}

// Write implements io.Writer. A line that finds the buffer full is dropped.
func (s *AsyncWriter) Write(line []byte) (int, error) {
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
func (s *AsyncWriter) Dropped() int64 { return s.dropped.Load() }

// Close writes what waits. What is written after it is dropped.
func (s *AsyncWriter) Close() {
	s.lines <- nil
	<-s.done
}

// run writes the lines that wait together, which saves system calls, until it meets the nil line of Close.
func (s *AsyncWriter) run(w io.Writer) {
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

// AttachKlog makes klog write to s alone.
func (s *AsyncWriter) AttachKlog() error {
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
