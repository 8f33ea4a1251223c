package limiter

import (
	"container/list"
	"time"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

const (
	defaultRepeatCount = 16384
	defaultRepeatAge   = 10 * time.Minute
)

// RequestKey identifies one at-most-once request of a caller.
type RequestKey struct {
	Service identifier.ServiceName
	Key     string
	Caller  identifier.CallerName
	ID      string
}

// Fate is what became of a request: InFlight, Answered, Uncertain or NotRun.
type Fate interface{ fate() }

// InFlight is a request that runs or waits.
type InFlight struct{}

// Answered is a request that the server answered with Status.
type Answered struct {
	Status int
}

// Uncertain is a request that may have run, without an answer.
type Uncertain struct{}

// NotRun is a request that was certainly not run and may be tried again.
type NotRun struct{}

func (InFlight) fate()  {}
func (Answered) fate()  {}
func (Uncertain) fate() {}
func (NotRun) fate()    {}

// remembered is one request in a Repeats.
type remembered struct {
	key  RequestKey
	at   time.Time
	fate Fate
}

// Repeats remembers at-most-once requests, so that a second arrival is not run again. It is bounded by count and age;
// what is in flight is never forgotten. The zero Repeats uses default bounds. It is not safe for concurrent use.
type Repeats struct {
	count   int
	age     time.Duration
	byKey   map[RequestKey]*list.Element
	order   list.List // of *remembered, the oldest in front
	evicted uint64
}

// NewRepeats returns a Repeats that remembers at most count requests, none longer than age.
func NewRepeats(count int, age time.Duration) *Repeats {
	return &Repeats{count: count, age: age}
}

// Begin notes the arrival of a request. It returns NotRun when the request may run, and then End must follow;
// else what became of the first arrival.
func (r *Repeats) Begin(now time.Time, key RequestKey) Fate {
	r.forget(now, 0)
	if e, ok := r.byKey[key]; ok {
		return e.Value.(*remembered).fate
	}
	r.forget(now, 1)
	if r.byKey == nil {
		r.byKey = map[RequestKey]*list.Element{}
	}
	r.byKey[key] = r.order.PushBack(&remembered{key: key, at: now, fate: InFlight{}})
	return NotRun{}
}

// End notes what became of a request that began; one that was not run is forgotten.
func (r *Repeats) End(now time.Time, key RequestKey, fate Fate) {
	e, ok := r.byKey[key]
	if !ok {
		return
	}
	if _, free := fate.(NotRun); free {
		r.drop(e)
		return
	}
	ended := e.Value.(*remembered)
	ended.fate = fate
	ended.at = now
	r.order.MoveToBack(e)
}

// Len returns how many requests are remembered.
func (r *Repeats) Len() int { return r.order.Len() }

// Evicted returns how many were forgotten before their age, because there were too many.
func (r *Repeats) Evicted() uint64 { return r.evicted }

func (r *Repeats) limits() (int, time.Duration) {
	count, age := r.count, r.age
	if count == 0 {
		count = defaultRepeatCount
	}
	if age == 0 {
		age = defaultRepeatAge
	}
	return count, age
}

// forget drops what is too old, and the oldest until there is room for more.
func (r *Repeats) forget(now time.Time, room int) {
	count, age := r.limits()
	e := r.order.Front()
	for e != nil {
		next := e.Next()
		old := e.Value.(*remembered)
		_, inFlight := old.fate.(InFlight)
		tooMany := r.order.Len()+room > count
		aged := now.Sub(old.at) > age
		if !tooMany && !aged {
			return
		}
		if !inFlight {
			if !aged {
				r.evicted++
			}
			r.drop(e)
		}
		e = next
	}
}

func (r *Repeats) drop(e *list.Element) {
	r.order.Remove(e)
	delete(r.byKey, e.Value.(*remembered).key)
}
