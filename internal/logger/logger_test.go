package logger

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func TestLinesAreWrittenInOrder(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	observed := ""
	w := New(&out, func(line []byte) { observed += string(line) })
	for _, line := range []string{"one\n", "two\n", "three\n"} {
		_, err := w.Write([]byte(line))
		is.NoErr(err)
	}
	is.NoErr(w.Close(context.Background()))
	is.Equal(out.String(), "one\ntwo\nthree\n")
	is.Equal(observed, out.String())
	is.Equal(w.Dropped(), int64(0))
}

// blockedWriter is a writer that blocks until unblock is closed.
type blockedWriter struct {
	blocked      chan struct{} // gets a value when a Write begins; buffered for the first
	unblock      chan struct{}
	writtenLines int
}

// Write implements io.Writer.
func (b *blockedWriter) Write(p []byte) (int, error) {
	select {
	case b.blocked <- struct{}{}:
	default:
	}
	<-b.unblock
	b.writtenLines += strings.Count(string(p), "\n")
	return len(p), nil
}

// TestWriteDoesNotBlockOnStuckOutput guards against requests that wait for a reader of the log, and against lines that are
// lost without being counted.
func TestWriteDoesNotBlockOnStuckOutput(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{blocked: make(chan struct{}, 1), unblock: make(chan struct{})}
	w := New(out, nil)
	_, err := w.Write([]byte("line\n"))
	is.NoErr(err)
	<-out.blocked // from now on no line leaves the buffer
	const written = 3 * maxPendingLines
	for range written {
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.Equal(w.Dropped(), int64(written-maxPendingLines))
	close(out.unblock)
	is.NoErr(w.Close(context.Background()))
	is.Equal(int64(out.writtenLines)+w.Dropped(), int64(1+written))
}

// TestCloseEndsWithItsContext guards against an instance that is killed at the end of its grace period because the output of
// its log is stuck, and against lines that are lost although the output recovers.
func TestCloseEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{blocked: make(chan struct{}, 1), unblock: make(chan struct{})}
	w := New(out, nil)
	for range 3 {
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
	}
	<-out.blocked
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	is.True(errors.Is(w.Close(ctx), context.DeadlineExceeded))
	close(out.unblock)
	is.NoErr(w.Close(context.Background()))
	is.Equal(out.writtenLines, 3)
}

// TestWriteAfterCloseDoesNotBlock guards against blocking or panicking when goroutines still log after Close.
func TestWriteAfterCloseDoesNotBlock(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := New(&out, nil)
	_, err := w.Write([]byte("one\n"))
	is.NoErr(err)
	is.NoErr(w.Close(context.Background()))
	for range 2 * maxPendingLines {
		_, err := w.Write([]byte("late\n"))
		is.NoErr(err)
	}
	is.Equal(out.String(), "one\n")
	is.Equal(w.Dropped(), int64(maxPendingLines))
}

// TestEmptyWriteAndSecondCloseAreHarmless guards against a log that ends at an empty line, and against a shutdown that blocks
// because the log is closed twice.
func TestEmptyWriteAndSecondCloseAreHarmless(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := New(&out, nil)
	for _, line := range []string{"one\n", "", "two\n"} {
		_, err := w.Write([]byte(line))
		is.NoErr(err)
	}
	is.NoErr(w.Close(context.Background()))
	is.NoErr(w.Close(context.Background()))
	is.Equal(out.String(), "one\ntwo\n")
}

// TestLongLinesAreBoundedTogether guards against memory that long lines take while the log can't be written.
func TestLongLinesAreBoundedTogether(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{blocked: make(chan struct{}, 1), unblock: make(chan struct{})}
	w := New(out, nil)
	_, err := w.Write([]byte("line\n"))
	is.NoErr(err)
	<-out.blocked // from now on no line leaves the buffer
	const kept, dropped = 32, 3
	long := strings.Repeat("x", maxPendingBytes/kept-1) + "\n"
	for range kept + dropped {
		_, err := w.Write([]byte(long))
		is.NoErr(err)
	}
	is.Equal(w.Dropped(), int64(dropped))
	close(out.unblock)
	is.NoErr(w.Close(context.Background()))
	is.Equal(out.writtenLines, 1+kept)
}
