// Package allocator decides which bodies of requests and answers may take the memory of an instance: who may read on, who waits and
// who is refused. It does no I/O; the present time is an argument.
//
// It handles clients that send many large bodies at once, most of which stop before their end, beside ordinary clients with small
// bodies. An eighth of the memory is kept for small bodies and for answers. Under pressure the bodies that have made no progress for
// the longest time are dropped, so that a stalled body holds memory only while nobody else needs it.
package allocator

import (
	"cmp"
	"slices"
	"time"
)

const (
	// SmallBytes is the size up to which a body counts as small on any machine.
	SmallBytes = 64 << 10
	// smallFraction is the part of the memory, as one in so many, up to which a body counts as small on larger machines.
	smallFraction = 128
	// reservedFraction is the part of the memory, as one in so many, that only small bodies and answers may use.
	reservedFraction = 8
	// maxWait bounds how long a body waits for memory. While it waits, its client's bytes stay in the system's buffers. It is below the time
	// after which an instance gives up a connection on which another one takes no bytes (1.2 s).
	maxWait = time.Second
	// maxWaiting is how many requests may wait before another body waits too, as each may have a full receive buffer. It does not hold for
	// answers, whose requests have been executed.
	maxWaiting = 64
	// stallTimeout is how long a body may make no progress before it may be dropped for others. It covers a lost segment and its
	// retransmission.
	stallTimeout = 500 * time.Millisecond
	// progressBytes is how many bytes count as progress; else single bytes would.
	progressBytes = 16 << 10
	// pressureDuration is how long after the last shortage the pressure counts as ended.
	pressureDuration = 2 * time.Second
	// holdWeight is the weight of a new value in the mean time for which memory is held.
	holdWeight = 0.1
	// minRetryAfter and maxRetryAfter bound the time after which a refused client is told to come back.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Ticket identifies a request that holds memory or waits for it.
type Ticket uint64

// Phase is what a request is doing with its memory.
type Phase int

// The phases of a request.
const (
	Reading Phase = iota // its body arrives from its client
	Working              // a server is at work; it can't be dropped
	Writing              // its answer is written to its client
)

// Decision is whether a request gets memory: Grant, Wait or Refuse.
type Decision interface{ isDecision() }

// Grant says that the request has the memory.
type Grant struct{}

// Wait says that the request waits; a Change of a later call ends the wait.
type Wait struct{}

// Refuse says that the request gets no memory.
type Refuse struct {
	Ticket     Ticket
	TooLarge   bool          // it does not fit, however much is free
	RetryAfter time.Duration // until there is likely to be room; 0 if TooLarge
}

func (Grant) isDecision()  {}
func (Wait) isDecision()   {}
func (Refuse) isDecision() {}

// Change is what happens to requests other than the one of the call.
type Change struct {
	Granted []Ticket
	Refused []Refuse
	Dropped []Ticket // of requests that must end, and then be closed
}

// account is the memory of one request.
type account struct {
	ticket   Ticket
	phase    Phase
	held     int64     // bytes
	opened   time.Time // when it was opened
	deadline time.Time // when the request ends at the latest
	marked   time.Time // when it last made progress
	total    int64     // bytes received or written in this phase
	mark     int64     // total at marked
	dropped  bool

	wanted    int64 // bytes for which it waits; 0 if it does not
	urgent    bool  // they are for an answer
	waitSince time.Time
}

// Allocator holds the accounts of all requests of an instance. Use New; it is not safe for concurrent use.
type Allocator struct {
	limit    int64 // bytes
	used     int64 // bytes
	accounts map[Ticket]*account
	waiting  []*account // in order of arrival
	last     Ticket
	meanHold time.Duration // for which memory is held; 0 if unknown
	shortage time.Time     // when a request last found no room; zero if none did
}

// New returns an Allocator of so many bytes.
func New(limit int64) *Allocator { return &Allocator{limit: limit, accounts: map[Ticket]*account{}} }

// MaxRequestBytes returns the bytes that one request, its header included, may hold at most of limit bytes for all of them.
func MaxRequestBytes(limit int64) int64 { return limit - limit/reservedFraction }

// Limit returns the bytes that requests may hold together.
func (a *Allocator) Limit() int64 { return a.limit }

// Held returns the bytes that requests hold.
func (a *Allocator) Held() int64 { return a.used }

// Waiting returns how many requests wait.
func (a *Allocator) Waiting() int { return len(a.waiting) }

// Pressure reports whether a request has found no room of late.
func (a *Allocator) Pressure(now time.Time) bool {
	return len(a.waiting) > 0 || !a.shortage.IsZero() && now.Sub(a.shortage) < pressureDuration
}

// Open opens the account of a request that needs bytes for its body, all at once if it announced their number, and ends at deadline.
// After a Refuse there is no account.
func (a *Allocator) Open(now time.Time, bytes int64, deadline time.Time) (Ticket, Decision) {
	a.last++
	acc := &account{ticket: a.last, opened: now, marked: now, deadline: deadline}
	a.accounts[acc.ticket] = acc
	d := a.request(now, acc, bytes, false)
	if _, refused := d.(Refuse); refused {
		delete(a.accounts, acc.ticket)
	}
	return acc.ticket, d
}

// Grow asks for more bytes for the body of a request, or for its answer. After a Refuse the account still holds what it has.
func (a *Allocator) Grow(now time.Time, t Ticket, bytes int64, answer bool) Decision {
	return a.request(now, a.accounts[t], bytes, answer)
}

// request decides about bytes for an account.
func (a *Allocator) request(now time.Time, acc *account, bytes int64, urgent bool) Decision {
	if acc.held+bytes > a.bound(acc, bytes, urgent) {
		return Refuse{Ticket: acc.ticket, TooLarge: true}
	}
	if a.used+bytes <= a.bound(acc, bytes, urgent) {
		a.give(acc, bytes)
		return Grant{}
	}
	a.shortage = now
	if len(a.waiting) >= maxWaiting && !urgent {
		return Refuse{Ticket: acc.ticket, RetryAfter: a.retryAfter(now, bytes)}
	}
	acc.wanted, acc.urgent, acc.waitSince = bytes, urgent, now
	a.waiting = append(a.waiting, acc)
	return Wait{}
}

// bound returns how many bytes may be in use after an account got more bytes.
func (a *Allocator) bound(acc *account, bytes int64, urgent bool) int64 {
	if urgent || acc.held+bytes <= max(SmallBytes, a.limit/smallFraction) {
		return a.limit
	}
	return MaxRequestBytes(a.limit)
}

func (a *Allocator) give(acc *account, bytes int64) {
	acc.held += bytes
	a.used += bytes
}

// Progress records how many bytes a request has received or written in its phase.
func (a *Allocator) Progress(now time.Time, t Ticket, total int64) {
	acc := a.accounts[t]
	acc.total = total
	if total-acc.mark >= progressBytes {
		acc.mark, acc.marked = total, now
	}
}

// Enter records the phase of a request.
func (a *Allocator) Enter(now time.Time, t Ticket, phase Phase) {
	acc := a.accounts[t]
	acc.phase, acc.marked, acc.mark, acc.total = phase, now, 0, 0
}

// Release gives back bytes of an account.
func (a *Allocator) Release(now time.Time, t Ticket, bytes int64) Change {
	acc := a.accounts[t]
	acc.held -= bytes
	a.used -= bytes
	return a.Advance(now)
}

// Close closes an account and gives back what it holds.
func (a *Allocator) Close(now time.Time, t Ticket) Change {
	acc := a.accounts[t]
	delete(a.accounts, t)
	a.stopWaiting(acc)
	if acc.held > 0 {
		a.observeHold(now.Sub(acc.opened))
	}
	a.used -= acc.held
	return a.Advance(now)
}

// stopWaiting ends the wait of an account, if it waits.
func (a *Allocator) stopWaiting(acc *account) {
	acc.wanted = 0
	a.waiting = slices.DeleteFunc(a.waiting, func(w *account) bool { return w == acc })
}

func (a *Allocator) observeHold(d time.Duration) {
	if a.meanHold == 0 {
		a.meanHold = d
	}
	a.meanHold += time.Duration(holdWeight * float64(d-a.meanHold))
}

// Advance gives free memory to waiting requests, refuses those that have waited too long, and drops stalled ones for the others. It
// must be called regularly while requests wait.
func (a *Allocator) Advance(now time.Time) Change {
	var c Change
	if len(a.waiting) == 0 {
		return c
	}
	a.shortage = now
	order := slices.Clone(a.waiting)
	slices.SortStableFunc(order, func(x, y *account) int { return cmp.Compare(rank(x), rank(y)) })
	var wanted, beyond int64 // by the requests that go on waiting, and how far that takes the use beyond their bounds
	for _, acc := range order {
		bytes := acc.wanted
		switch {
		case a.used+bytes <= a.bound(acc, bytes, acc.urgent):
			a.stopWaiting(acc)
			a.give(acc, bytes)
			acc.marked = now // the wait was not its client's fault
			c.Granted = append(c.Granted, acc.ticket)
		case !now.Before(a.waitEnd(acc)):
			a.stopWaiting(acc)
			c.Refused = append(c.Refused, Refuse{Ticket: acc.ticket, RetryAfter: a.retryAfter(now, bytes)})
		default:
			wanted += bytes
			beyond = max(beyond, a.used+wanted-a.bound(acc, bytes, acc.urgent))
		}
	}
	c.Dropped = a.drop(now, beyond)
	return c
}

// rank orders waiting requests: answers first, as their requests have been executed, then bodies that have begun, as they hold memory.
func rank(acc *account) int {
	switch {
	case acc.urgent:
		return 0
	case acc.held > 0:
		return 1
	}
	return 2
}

// waitEnd returns when an account's wait ends without memory. An answer waits until its request's deadline, because without it the
// outcome of the request would be unknown.
func (a *Allocator) waitEnd(acc *account) time.Time {
	if end := acc.waitSince.Add(maxWait); !acc.urgent && end.Before(acc.deadline) {
		return end
	}
	return acc.deadline
}

// drop chooses the accounts that have made no progress for the longest time, until they hold as many bytes as are missing.
func (a *Allocator) drop(now time.Time, missing int64) []Ticket {
	var stalled []*account
	for _, acc := range a.accounts {
		switch {
		case acc.dropped:
			missing -= acc.held // it is about to be closed
		case acc.phase != Working && acc.held > 0 && acc.wanted == 0 && now.Sub(acc.marked) >= stallTimeout:
			stalled = append(stalled, acc)
		}
	}
	slices.SortFunc(stalled, func(x, y *account) int {
		return cmp.Or(x.marked.Compare(y.marked), cmp.Compare(y.held, x.held), cmp.Compare(x.ticket, y.ticket))
	})
	var dropped []Ticket
	for _, acc := range stalled {
		if missing <= 0 {
			break
		}
		missing -= acc.held
		acc.dropped = true
		dropped = append(dropped, acc.ticket)
	}
	return dropped
}

// retryAfter returns the time until bytes are likely to be free, as far as accounts end when the mean time has passed, and at their
// deadlines at the latest.
func (a *Allocator) retryAfter(now time.Time, bytes int64) time.Duration {
	type end struct {
		at   time.Time
		held int64
	}
	var ends []end
	for _, acc := range a.accounts {
		at := acc.deadline
		if likely := acc.opened.Add(a.meanHold); a.meanHold > 0 && likely.Before(at) && likely.After(now) {
			at = likely
		}
		ends = append(ends, end{at: at, held: acc.held})
	}
	slices.SortFunc(ends, func(x, y end) int { return x.at.Compare(y.at) })
	free, wait := a.limit-a.used, minRetryAfter
	for _, e := range ends {
		if free >= bytes {
			break
		}
		free += e.held
		wait = e.at.Sub(now)
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
