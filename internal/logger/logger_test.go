package logger

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestLinesAreWrittenInOrder(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	kept := ""
	s := New(&out, func(line []byte) { kept += string(line) })
	for _, line := range []string{"one\n", "two\n", "three\n"} {
		_, err := s.Write([]byte(line))
		is.NoErr(err)
	}
	s.Close()
	is.Equal(out.String(), "one\ntwo\nthree\n")
	is.Equal(kept, out.String())
	is.Equal(s.Dropped(), int64(0))
}

// blocked is a reader's end that takes nothing until it is opened.
type blocked struct {
	open  chan struct{}
	lines int
}

// Write implements io.Writer.
func (b *blocked) Write(p []byte) (int, error) {
	<-b.open
	b.lines += strings.Count(string(p), "\n")
	return len(p), nil
}

func TestNobodyWaitsForAReaderThatIsStuck(t *testing.T) {
	is := is.New(t)
	out := &blocked{open: make(chan struct{})}
	s := New(out, nil)
	const written = 3 * pending
	for range written {
		_, err := s.Write([]byte("line\n"))
		is.NoErr(err)
	}
	close(out.open)
	s.Close()
	is.True(s.Dropped() > 0)
	is.Equal(int64(out.lines)+s.Dropped(), int64(written))
}

// TestLinesAfterCloseAreDropped: goroutines that end late may still log.
func TestLinesAfterCloseAreDropped(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	s := New(&out, nil)
	_, err := s.Write([]byte("one\n"))
	is.NoErr(err)
	s.Close()
	for range 2 * pending {
		_, err := s.Write([]byte("late\n"))
		is.NoErr(err)
	}
	is.Equal(out.String(), "one\n")
	is.Equal(s.Dropped(), int64(pending))
}
