// Package logger makes klog write the log of an instance asynchronously, so that a slow reader of the log never blocks a
// caller. Entry instances log errors at severity I too, with the error as a value of the line.
package logger

import (
	"context"
	"flag"
	"io"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

// maxPendingLines is how many lines may wait to be written; further ones are dropped and counted.
const maxPendingLines = 2048

// maxPendingBytes is how many bytes these lines may have together, as clients influence the length of a line.
const maxPendingBytes = 2 << 20

// batchBytes is the size from which a batch of lines is written without adding further lines.
const batchBytes = 64 << 10

// AsyncWriter is an io.Writer whose Write never blocks. Use New.
type AsyncWriter struct {
	onLine  func(line []byte)
	lines   chan []byte
	pending atomic.Int64 // bytes of the lines in the channel
	dropped atomic.Int64
	closing sync.Once
	closed  chan struct{} // closed by Close
	done    chan struct{} // closed when all lines are written
}

// New returns an AsyncWriter that writes to out. Each line is also passed to onLine, which must not block and may be nil.
func New(out io.Writer, onLine func(line []byte)) *AsyncWriter {
	w := &AsyncWriter{
		onLine: onLine, lines: make(chan []byte, maxPendingLines), closed: make(chan struct{}), done: make(chan struct{}),
	}
	go w.run(out)
	return w
}

// Write implements io.Writer for one line. It drops the line if maxPendingLines or maxPendingBytes are waiting, and never returns an
// error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if w.onLine != nil {
		w.onLine(line)
	}
	size := int64(len(line))
	if w.pending.Add(size) <= maxPendingBytes {
		select {
		case w.lines <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	w.pending.Add(-size)
	w.dropped.Add(1)
	return len(line), nil
}

// Dropped returns the number of lines that were dropped because too many were waiting, plus the number of failed writes. A
// failed write adds 1, however many lines its batch has.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the lines that wait, and blocks until they are written or ctx ends; then the error says so, and the lines that
// are not written are lost if the process exits. Further calls do the same. Lines written after Close are discarded; Dropped
// counts only those that no longer fit into the buffer.
func (w *AsyncWriter) Close(ctx context.Context) error {
	w.closing.Do(func() { close(w.closed) })
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "write the rest of the log")
	}
}

// run writes the lines until Close is called and none is waiting.
func (w *AsyncWriter) run(out io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeBatch(out, w.taken(line))
		case <-w.closed:
			for {
				select {
				case line := <-w.lines:
					w.writeBatch(out, w.taken(line))
				default:
					return
				}
			}
		}
	}
}

// taken returns a line that was taken out of the channel.
func (w *AsyncWriter) taken(line []byte) []byte {
	w.pending.Add(-int64(len(line)))
	return line
}

// writeBatch writes a line together with those that wait, which saves system calls.
func (w *AsyncWriter) writeBatch(out io.Writer, batch []byte) {
	for more := true; more && len(batch) < batchBytes; {
		select {
		case next := <-w.lines:
			batch = append(batch, w.taken(next)...)
		default:
			more = false
		}
	}
	if _, err := out.Write(batch); err != nil {
		w.dropped.Add(1)
	}
}

// AttachKlog makes klog write only to w, each line once, for the whole process. The flags keep klog from writing errors to
// standard error as well, and from repeating a line for each lower severity.
func (w *AsyncWriter) AttachKlog() error {
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
	klog.SetOutput(w)
	return nil
}
