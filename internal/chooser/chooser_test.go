package chooser

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func candidates(names ...identifier.ServerName) []Candidate {
	all := make([]Candidate, 0, len(names))
	for _, name := range names {
		all = append(all, Candidate{Server: name, Slots: 3})
	}
	return all
}

func newSource() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// share chooses and answers rounds times, and returns how often each server was chosen.
func share(c *Chooser, rounds int, from []Candidate, took func(identifier.ServerName) Result) map[identifier.ServerName]int {
	source := newSource()
	chosen := map[identifier.ServerName]int{}
	now := start
	for range rounds {
		server, ok := c.Choose(now, from, "", source)
		if !ok {
			break
		}
		chosen[server]++
		now = now.Add(time.Millisecond)
		c.Finish(now, server, took(server))
	}
	return chosen
}

func TestChoose(t *testing.T) {
	fast := Answered{Took: 5 * time.Millisecond}
	leaving := candidates("a", "b", "c")
	leaving[0].Leaving = true
	suspect := candidates("a", "b", "c")
	suspect[0].Suspect = true
	tests := map[string]struct {
		from  []Candidate
		a     Result // what a shows
		other Result // what the others show; nil is fast
		least int    // of 300 choices
		most  int
	}{
		"even":    {from: candidates("a", "b", "c"), a: fast, least: 80, most: 120},
		"leaving": {from: leaving, a: fast, most: 0},
		"suspect": {from: suspect, a: fast, least: 1, most: 30},
		"busy":    {from: candidates("a", "b", "c"), a: Answered{Took: 5 * time.Millisecond, Wait: time.Second}, least: 1, most: 30},
		"slow":    {from: candidates("a", "b", "c"), a: Answered{Took: 100 * time.Millisecond}, least: 1, most: 30},
		"failing": {from: candidates("a", "b", "c"), a: Failed{}, other: Answered{Took: 20 * time.Millisecond}, least: failuresToEject, most: failuresToEject},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			chosen := share(&Chooser{}, 300, test.from, func(server identifier.ServerName) Result {
				if server == "a" {
					return test.a
				}
				if test.other != nil {
					return test.other
				}
				return fast
			})
			t.Log(chosen)
			is.True(chosen["a"] >= test.least && chosen["a"] <= test.most)
		})
	}
}

func TestAvoidsTheLastServer(t *testing.T) {
	is := is.New(t)
	var c Chooser
	for range 20 {
		server, ok := c.Choose(start, candidates("a", "b"), "a", newSource())
		is.True(ok)
		is.Equal(server, identifier.ServerName("b"))
	}
	server, ok := c.Choose(start, candidates("a"), "a", newSource())
	is.True(ok)
	is.Equal(server, identifier.ServerName("a"))
	_, ok = c.Choose(start, nil, "", newSource())
	is.True(!ok)
}

// TestEjectionIsBounded lets all servers fail: half of them stay in use, and an ejection ends.
func TestEjectionIsBounded(t *testing.T) {
	is := is.New(t)
	var c Chooser
	from := candidates("a", "b", "c", "d")
	chosen := share(&c, 400, from, func(identifier.ServerName) Result { return Failed{} })
	is.Equal(chosen["a"]+chosen["b"]+chosen["c"]+chosen["d"], 400)
	is.Equal(len(c.usable(start.Add(400*time.Millisecond), from, "")), 2)
	is.Equal(len(c.usable(start.Add(time.Hour), from, "")), 4)
	c.Finish(start.Add(time.Hour), "a", Failed{})
	is.True(c.ejected(start.Add(time.Hour), "a")) // one failure after an ejection is enough
	c.Finish(start.Add(2*time.Hour), "a", Answered{Took: time.Millisecond})
	c.Finish(start.Add(2*time.Hour), "a", Failed{})
	is.True(!c.ejected(start.Add(2*time.Hour), "a"))
}

func TestOldServersAreForgotten(t *testing.T) {
	is := is.New(t)
	var c Chooser
	share(&c, 100, candidates("a", "b", "c", "d", "e"), func(identifier.ServerName) Result { return Withdrawn{} })
	held, _ := c.Choose(start, candidates("e"), "", newSource())
	_, _ = c.Choose(start, candidates("f"), "", newSource())
	is.Equal(held, identifier.ServerName("e"))
	is.Equal(len(c.servers), 2) // e has a request outstanding
}

// TestSlowServerIsTriedAgain lets the one slow server be silent until its measurement has lost its weight.
func TestSlowServerIsTriedAgain(t *testing.T) {
	is := is.New(t)
	var c Chooser
	from := candidates("a", "b")
	share(&c, 10, from, func(server identifier.ServerName) Result {
		if server == "a" {
			return Answered{Took: time.Second}
		}
		return Answered{Took: 11 * time.Millisecond}
	})
	is.True(c.expected(start.Add(time.Second), from[0]) > 2*c.expected(start.Add(time.Second), from[1]))
	is.True(c.expected(start.Add(5*time.Minute), from[0]) < 2*c.expected(start.Add(5*time.Minute), from[1]))
}

func TestReportedWaitDecays(t *testing.T) {
	is := is.New(t)
	is.Equal(decay(time.Second, 0, waitHalfLife), time.Second)
	is.Equal(decay(time.Second, waitHalfLife, waitHalfLife), time.Second/2)
	is.Equal(decay(time.Second, 2*waitHalfLife, waitHalfLife), time.Second/4)
	is.Equal(decay(time.Second, time.Hour, waitHalfLife), time.Duration(0))
}
