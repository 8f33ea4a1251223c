package throttler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// at returns the time ms milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestParseRate(t *testing.T) {
	tests := map[string]struct {
		want  float64
		valid bool
	}{
		"2.7":  {want: 2.7, valid: true},
		"0":    {valid: true},
		"1e2":  {want: 100, valid: true},
		"-1":   {},
		"NaN":  {},
		"Inf":  {},
		"":     {},
		"some": {},
	}
	for text, test := range tests {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			rate, err := ParseRate(text)
			is.Equal(rate, test.want)
			is.Equal(err == nil, test.valid)
		})
	}
}

// TestLimitFollowsLatestAnswer guards against a limit that a late answer withdraws or brings back, and against one that
// outlives the server that named it.
func TestLimitFollowsLatestAnswer(t *testing.T) {
	tests := map[string]struct {
		answers func(l *Limits)
		rate    float64 // of incarnation 7 afterwards, 0 for none
	}{
		"named":   {rate: 2, answers: func(l *Limits) { l.Named(at(10), "s", 7, 2) }},
		"changed": {rate: 0.5, answers: func(l *Limits) { l.Named(at(10), "s", 7, 2); l.Named(at(20), "s", 7, 0.5) }},
		"withdrawn": {answers: func(l *Limits) {
			l.Named(at(10), "s", 7, 2)
			l.NotNamed(at(20), at(11), "s", 7)
		}},
		"not withdrawn by the answer to an earlier request": {rate: 2, answers: func(l *Limits) {
			l.Named(at(10), "s", 7, 2)
			l.NotNamed(at(20), at(9), "s", 7)
		}},
		"earlier incarnation": {answers: func(l *Limits) { l.Named(at(10), "s", 6, 2) }},
		"late answer of an earlier incarnation": {rate: 2, answers: func(l *Limits) {
			l.Named(at(10), "s", 7, 2)
			l.Named(at(20), "s", 6, 9)
			l.NotNamed(at(30), at(29), "s", 6)
		}},
		"learned": {rate: 3, answers: func(l *Limits) {
			l.Learn(Statement{Server: "s", Incarnation: 7, Limited: true, Limit: Limit{Rate: 3}, At: at(10)})
		}},
		"own answer counts more than an echo of it": {answers: func(l *Limits) {
			l.Named(at(10), "s", 7, 2)
			l.NotNamed(at(20), at(11), "s", 7)
			l.Learn(Statement{Server: "s", Incarnation: 7, Limited: true, Limit: Limit{Rate: 2}, At: at(500)})
		}},
		"later statement of another instance counts more": {rate: 4, answers: func(l *Limits) {
			l.Named(at(10), "s", 7, 2)
			l.Learn(Statement{Server: "s", Incarnation: 7, Limited: true, Limit: Limit{Rate: 4}, At: at(1500)})
		}},
		"earlier statement after a later one": {rate: 4, answers: func(l *Limits) {
			l.Learn(Statement{Server: "s", Incarnation: 7, Limited: true, Limit: Limit{Rate: 4}, At: at(1500)})
			l.Learn(Statement{Server: "s", Incarnation: 7, Limited: true, Limit: Limit{Rate: 3}, At: at(1400)})
		}},
		"withdrawal learned": {answers: func(l *Limits) {
			l.Named(at(10), "s", 7, 2)
			l.Learn(Statement{Server: "s", Incarnation: 7, At: at(1500)})
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var l Limits
			test.answers(&l)
			limit, limited := l.Get("s", 7)
			is.Equal(limited, test.rate > 0)
			is.Equal(limit.Rate, test.rate)
		})
	}
}

// TestLimitKeepsItsStart guards against operators who are told that a limit is new whenever its rate changes.
func TestLimitKeepsItsStart(t *testing.T) {
	is := is.New(t)
	var l Limits
	is.True(l.Named(at(10), "s", 7, 2))
	is.True(!l.Named(at(20), "s", 7, 2))
	is.True(l.Named(at(30), "s", 7, 3))
	limit, _ := l.Get("s", 7)
	is.Equal(limit.Since, at(10))
	l.Retain(func(string) bool { return false })
	is.Equal(l.Servers(), 0)
}
