package limiter

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

func TestCallers(t *testing.T) {
	tests := map[string]struct {
		limit   CallerLimit
		offsets []time.Duration // of arrivals; none leaves
		want    []Reason        // "" is admitted
	}{
		"rate":       {limit: CallerLimit{Rate: 10, Burst: 2}, offsets: []time.Duration{0, 0, 0, 100 * time.Millisecond, 100 * time.Millisecond}, want: []Reason{"", "", ReasonRate, "", ReasonRate}},
		"concurrent": {limit: CallerLimit{Concurrent: 2}, offsets: []time.Duration{0, 0, 0}, want: []Reason{"", "", ReasonConcurrent}},
		"none":       {offsets: []time.Duration{0, 0, 0}, want: []Reason{"", "", ""}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var c Callers
			for i, offset := range test.offsets {
				_, decision := c.Enter(at(offset), "ci", test.limit)
				refusal, refused := decision.(Refuse)
				is.Equal(refusal.Reason, test.want[i])
				is.Equal(refused, test.want[i] != "")
				is.Equal(refusal.RetryAfter > 0, refused)
			}
		})
	}
}

func TestCallersAreBounded(t *testing.T) {
	is := is.New(t)
	var c Callers
	limit := CallerLimit{Rate: 1, Burst: 1}
	busy, _ := c.Enter(start, "busy", limit)
	for i := range 2 * maxCallers {
		a, decision := c.Enter(start, identifier.CallerName(strconv.Itoa(i)), limit)
		is.Equal(decision, Start{})
		c.Leave(a)
	}
	is.Equal(c.Len(), maxCallers)
	_, decision := c.Enter(start, "busy", limit) // was not forgotten: its burst is spent
	_, refused := decision.(Refuse)
	is.True(refused)
	c.Leave(busy)
}

func TestBudgetIsAShare(t *testing.T) {
	is := is.New(t)
	var b Budget
	retries := 0
	for range 1000 {
		b.Request(0.1)
		if b.Retry() {
			retries++
		}
	}
	is.True(retries >= 100 && retries <= 100+int(budgetReserve))
	var none Budget
	none.Request(0)
	is.True(!none.Retry())
}

func TestBackoffStaysInItsBounds(t *testing.T) {
	is := is.New(t)
	source := rand.New(rand.NewPCG(1, 1))
	b := Backoff{Base: 10 * time.Millisecond, Max: 50 * time.Millisecond}
	for attempt := 1; attempt < 100; attempt++ {
		pause := b.Pause(attempt, source)
		is.True(pause >= 0 && pause <= b.Max)
	}
	is.Equal(Backoff{}.Pause(1, source), time.Duration(0))
}

func key(id string) RequestKey {
	return RequestKey{Service: "desk", Key: "k", Caller: "c", ID: id}
}

func TestRepeats(t *testing.T) {
	tests := map[string]struct {
		end  Fate // nil while the first is under way
		want Fate
	}{
		"in flight": {want: InFlight{}},
		"answered":  {end: Answered{Status: 201}, want: Answered{Status: 201}},
		"uncertain": {end: Uncertain{}, want: Uncertain{}},
		"not run":   {end: NotRun{}, want: NotRun{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r Repeats
			is.Equal(r.Begin(start, key("1")), NotRun{})
			if test.end != nil {
				r.End(start, key("1"), test.end)
			}
			is.Equal(r.Begin(start, key("1")), test.want)
			other := key("1")
			other.Caller = "d"
			is.Equal(r.Begin(start, other), NotRun{})
		})
	}
}

func TestRepeatsAreBounded(t *testing.T) {
	is := is.New(t)
	r := NewRepeats(10, time.Minute)
	is.Equal(r.Begin(start, key("first")), NotRun{}) // stays in flight
	for i := range 30 {
		id := key(strconv.Itoa(i))
		is.Equal(r.Begin(start, id), NotRun{})
		r.End(start, id, Answered{Status: 200})
	}
	is.Equal(r.Len(), 10)
	is.Equal(r.Evicted(), uint64(21))
	is.Equal(r.Begin(start, key("first")), InFlight{})
	is.Equal(r.Begin(at(2*time.Minute), key("29")), NotRun{}) // aged
	is.Equal(r.Evicted(), uint64(21))
	is.Equal(r.Begin(at(2*time.Minute), key("first")), InFlight{})
}
