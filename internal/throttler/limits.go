// Package throttler keeps the limits that backend servers name for the rate of their requests, and spaces requests so that
// they stay within them. It does no I/O; the current time is an argument.
package throttler

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// learnedMargin is by how much later than its answer a statement of another instance may seem, because of the time that it
// takes to arrive.
const learnedMargin = time.Second

// Limit is the rate that a backend server takes from all instances together.
type Limit struct {
	Rate  float64   // requests a second
	Since time.Time // when this incarnation of the server first named a limit; a change of the rate leaves it
}

// Statement is what the latest answer of a backend server says about its limit.
type Statement struct {
	Server      string
	Incarnation int64
	Limited     bool      // whether the server names a limit
	Limit       Limit     // the last one that it named
	At          time.Time // when the answer arrived
}

// Limits holds the latest statement of each server that has ever named a limit. The zero Limits is empty. It is not safe for
// concurrent use.
type Limits struct {
	statements map[string]*ownedStatement // by server id
}

// ownedStatement is a statement and where it comes from.
type ownedStatement struct {
	Statement
	learned bool // from another instance
}

// ParseRate parses the value in which a server names its limit: a decimal number of requests a second, which may be 0.
func ParseRate(text string) (float64, error) {
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, errors.Wrap(err, "limit of a server")
	}
	if err := CheckRate(rate); err != nil {
		return 0, err
	}
	return rate, nil
}

// CheckRate returns an error unless rate is a number from 0 on.
func CheckRate(rate float64) error {
	if math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return errors.Errorf("limit of a server is no rate: %v", rate)
	}
	return nil
}

// Named records an answer in which an incarnation of a server names a limit, and reports whether that is a change.
func (l *Limits) Named(now time.Time, server string, incarnation int64, rate float64) bool {
	s := l.statements[server]
	if s != nil && incarnation < s.Incarnation {
		return false
	}
	changed := s == nil || incarnation != s.Incarnation || !s.Limited || rate != s.Limit.Rate
	if s == nil || incarnation != s.Incarnation || !s.Limited {
		s = &ownedStatement{Statement: Statement{Server: server, Incarnation: incarnation, Limited: true}}
		s.Limit.Since = now
	}
	s.Limit.Rate, s.At, s.learned = rate, now, false
	l.put(s)
	return changed
}

// NotNamed records an answer in which an incarnation of a server names no limit, to a request that was sent at a given time,
// and reports whether that withdraws its limit. The answer to a request from before the limit was last named proves nothing.
func (l *Limits) NotNamed(now, sent time.Time, server string, incarnation int64) bool {
	s := l.statements[server]
	if s == nil || incarnation != s.Incarnation || !s.Limited || sent.Before(s.At) {
		return false
	}
	s.Limited, s.At, s.learned = false, now, false
	return true
}

// Learn records a statement that another instance has passed on, and reports whether that is a change. An answer that this
// instance itself got at about that time or later counts more.
func (l *Limits) Learn(other Statement) bool {
	s := l.statements[other.Server]
	switch {
	case s == nil:
		if !other.Limited {
			return false
		}
	case other.Incarnation < s.Incarnation:
		return false
	case other.Incarnation == s.Incarnation:
		newest := s.At
		if !s.learned {
			newest = newest.Add(learnedMargin)
		}
		if !other.At.After(newest) {
			return false
		}
	}
	changed := s == nil || s.Incarnation != other.Incarnation || s.Limited != other.Limited || s.Limit.Rate != other.Limit.Rate
	l.put(&ownedStatement{Statement: other, learned: true})
	return changed
}

func (l *Limits) put(s *ownedStatement) {
	if l.statements == nil {
		l.statements = map[string]*ownedStatement{}
	}
	l.statements[s.Server] = s
}

// Get returns the limit of an incarnation of a server, and false if it names none.
func (l *Limits) Get(server string, incarnation int64) (Limit, bool) {
	s := l.statements[server]
	if s == nil || !s.Limited || s.Incarnation != incarnation {
		return Limit{}, false
	}
	return s.Limit, true
}

// Statement returns the latest statement of a server, and false if it has never named a limit.
func (l *Limits) Statement(server string) (Statement, bool) {
	s := l.statements[server]
	if s == nil {
		return Statement{}, false
	}
	return s.Statement, true
}

// All returns the servers that have ever named a limit and were not dropped, sorted by id.
func (l *Limits) All() []string { return slices.Sorted(maps.Keys(l.statements)) }

// Servers returns how many servers name a limit.
func (l *Limits) Servers() int {
	count := 0
	for _, s := range l.statements {
		if s.Limited {
			count++
		}
	}
	return count
}

// Retain drops the servers for which keep returns false.
func (l *Limits) Retain(keep func(server string) bool) {
	for server := range l.statements {
		if !keep(server) {
			delete(l.statements, server)
		}
	}
}
