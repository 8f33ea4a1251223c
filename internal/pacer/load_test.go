package pacer

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestParseLoad guards against a report that is taken over although it can't be true, and against a valid one that is ignored.
func TestParseLoad(t *testing.T) {
	tests := map[string]struct {
		text string
		want Load
		ok   bool
	}{
		"without pace":          {text: "3,1,6", want: Load{Running: 3, Waiting: 1, Slots: 6}, ok: true},
		"with pace":             {text: "3,1,6,250", want: Load{Running: 3, Waiting: 1, Slots: 6, Pace: 2.5}, ok: true},
		"with spaces":           {text: "3, 1, 6, 100", want: Load{Running: 3, Waiting: 1, Slots: 6, Pace: 1}, ok: true},
		"more than its slots":   {text: "9,0,6", want: Load{Running: 9, Slots: 6}, ok: true},
		"empty":                 {text: ""},
		"too few numbers":       {text: "3,1"},
		"too many numbers":      {text: "3,1,6,100,1"},
		"no number":             {text: "3,few,6"},
		"negative":              {text: "3,-1,6"},
		"no slots":              {text: "3,1,0"},
		"too large":             {text: "3,1,99999999999999999999"},
		"pace of 0":             {text: "3,1,6,0"},
		"pace of 1e9":           {text: "3,1,6,1e9"},
		"negative pace":         {text: "3,1,6,-100"},
		"pace is not a number":  {text: "3,1,6,NaN"},
		"pace is infinite":      {text: "3,1,6,Inf"},
		"a megabyte":            {text: strings.Repeat("1", 1<<20)},
		"a megabyte of commas":  {text: strings.Repeat(",", 1<<20)},
		"a megabyte of numbers": {text: "3,1,6," + strings.Repeat("0", 1<<20) + "100"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			load, err := ParseLoad(test.text)
			is.Equal(load, test.want)
			is.Equal(err == nil, test.ok)
		})
	}
}

// TestReportLosesWeight guards against a server that is judged by what it said long ago, or by what it says when its requests show
// otherwise.
func TestReportLosesWeight(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var p Pacer
	p.SetSlots(now, 6)
	is.Equal(p.Ratio(now, 1), 1.0)
	p.Report(now, Load{Running: 5, Waiting: 2, Slots: 6, Pace: 3}, 2)
	is.Equal(p.Ratio(now, 1), 3.0)
	is.Equal(p.Others(now), 5.0)
	is.True(p.Ratio(now.Add(2*time.Second), 1) < 1.1)
	is.True(p.Others(now.Add(2*time.Second)) < 0.2)
	for range 8 {
		p.Record(now, now.Add(-time.Second), 1, 1)
	}
	is.True(p.Ratio(now, 1) < 1.3)
	p.Report(now, Load{Running: maxRequests, Waiting: maxRequests, Slots: 6, Pace: maxPace}, 0)
	is.Equal(p.Others(now), 6.0)
	is.True(p.Ratio(now, 1) < 1.4)
}
