package forwarder

import (
	"context"
	"sync"
)

// flights counts the requests under way. The zero flights lets requests in.
type flights struct {
	mu       sync.Mutex
	count    int
	draining bool
	empty    chan struct{} // closed when the last one leaves a draining flights
}

// enter counts a request in, unless the flights drains.
func (f *flights) enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return false
	}
	f.count++
	return true
}

func (f *flights) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.draining && f.count == 0 {
		close(f.empty)
	}
}

// drain lets no request in any more and returns what is closed when all have left.
func (f *flights) drain() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return f.empty
	}
	f.draining = true
	f.empty = make(chan struct{})
	if f.count == 0 {
		close(f.empty)
	}
	return f.empty
}

// Drain refuses new requests, which are told to come back, and waits until those under way have ended or ctx ends.
func (f *Forwarder) Drain(ctx context.Context) error {
	select {
	case <-f.flights.drain():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// InFlight returns how many requests are under way.
func (f *Forwarder) InFlight() int {
	f.flights.mu.Lock()
	defer f.flights.mu.Unlock()
	return f.flights.count
}
