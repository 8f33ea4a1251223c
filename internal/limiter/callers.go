package limiter

import (
	"container/list"
	"time"

	"golang.org/x/time/rate"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// maxCallers bounds the callers that a Callers keeps apart.
const maxCallers = 4096

// CallerLimit is what one caller may ask of one instance. A Rate of 0 is no limit, and so is a Concurrent of 0.
type CallerLimit struct {
	Rate       float64 // requests a second
	Burst      int
	Concurrent int
}

// caller is the state of one caller.
type caller struct {
	name    identifier.CallerName
	limit   CallerLimit
	limiter *rate.Limiter
	running int
}

// Callers limits the rate and concurrency of each caller. It keeps the callers used last; when all of them have
// requests under way, new ones share one limit. The zero Callers is empty. It is not safe for concurrent use.
type Callers struct {
	byName   map[identifier.CallerName]*list.Element
	order    list.List // of *caller, the one used last in front
	overflow *caller
}

// Admission is an admitted request of a caller; Leave takes it back.
type Admission struct {
	of *caller
}

// Enter counts a request of name in, or refuses it.
func (c *Callers) Enter(now time.Time, name identifier.CallerName, limit CallerLimit) (Admission, Decision) {
	from := c.get(name, limit)
	from.setLimit(now, limit)
	if limit.Concurrent > 0 && from.running >= limit.Concurrent {
		return Admission{}, Refuse{Reason: ReasonConcurrent, RetryAfter: minRetry}
	}
	if delay := from.reserve(now); delay > 0 {
		return Admission{}, Refuse{Reason: ReasonRate, RetryAfter: delay}
	}
	from.running++
	return Admission{of: from}, Start{}
}

// Leave counts an admitted request out. The zero Admission changes nothing.
func (c *Callers) Leave(a Admission) {
	if a.of != nil {
		a.of.running--
	}
}

// Len returns how many callers are kept apart.
func (c *Callers) Len() int { return c.order.Len() }

func (c *Callers) get(name identifier.CallerName, limit CallerLimit) *caller {
	if e, ok := c.byName[name]; ok {
		c.order.MoveToFront(e)
		return e.Value.(*caller)
	}
	if c.order.Len() >= maxCallers && !c.evict() {
		return c.shared(limit)
	}
	if c.byName == nil {
		c.byName = map[identifier.CallerName]*list.Element{}
	}
	added := newCaller(name, limit)
	c.byName[name] = c.order.PushFront(added)
	return added
}

// evict drops the caller unused for longest that has nothing under way.
func (c *Callers) evict() bool {
	for e := c.order.Back(); e != nil; e = e.Prev() {
		idle := e.Value.(*caller)
		if idle.running > 0 {
			continue
		}
		c.order.Remove(e)
		delete(c.byName, idle.name)
		return true
	}
	return false
}

func (c *Callers) shared(limit CallerLimit) *caller {
	if c.overflow == nil {
		c.overflow = newCaller("", limit)
	}
	return c.overflow
}

func newCaller(name identifier.CallerName, limit CallerLimit) *caller {
	added := &caller{name: name, limit: limit}
	added.limiter = rate.NewLimiter(limit.perSecond(), limit.burst())
	return added
}

func (l CallerLimit) perSecond() rate.Limit {
	if l.Rate <= 0 {
		return rate.Inf
	}
	return rate.Limit(l.Rate)
}

// burst returns how many requests may come at once, at least 1.
func (l CallerLimit) burst() int { return max(1, l.Burst) }

// setLimit takes over a limit that a newer bundle changed.
func (c *caller) setLimit(now time.Time, limit CallerLimit) {
	if c.limit == limit {
		return
	}
	c.limit = limit
	c.limiter.SetLimitAt(now, limit.perSecond())
	c.limiter.SetBurstAt(now, limit.burst())
}

// reserve takes one token, or returns how long to wait for one and takes none.
func (c *caller) reserve(now time.Time) time.Duration {
	if c.limiter.AllowN(now, 1) {
		return 0
	}
	r := c.limiter.ReserveN(now, 1)
	if !r.OK() {
		return time.Second
	}
	defer r.CancelAt(now)
	return max(r.DelayFrom(now), minRetry)
}
