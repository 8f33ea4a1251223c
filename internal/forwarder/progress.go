package forwarder

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// maxUnansweredLines bounds the log lines of requests that have no answer when the instance exits.
const maxUnansweredLines = 100

// stage is how far a client's request has come.
type stage int32

const (
	reading   stage = iota // its body is being read
	pending                // it waits for a server or for the answer
	answering              // its answer is being written
)

// String implements fmt.Stringer.
func (s stage) String() string { return [...]string{"reading", "pending", "answering"}[s] }

// requestProgress is the progress of one client's request.
type requestProgress struct {
	id    string
	start time.Time
	stage atomic.Int32
}

// enter records that the request has reached a stage.
func (p *requestProgress) enter(s stage) { p.stage.Store(int32(s)) }

// requestSet holds the clients' requests that have no answer yet. The zero requestSet is empty.
type requestSet struct {
	mu       sync.Mutex
	requests map[*requestProgress]struct{}
}

// begin adds a request that arrived at now.
func (s *requestSet) begin(now time.Time, id string) *requestProgress {
	p := &requestProgress{id: id, start: now}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requests == nil {
		s.requests = map[*requestProgress]struct{}{}
	}
	s.requests[p] = struct{}{}
	return p
}

// end removes a request.
func (s *requestSet) end(p *requestProgress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.requests, p)
}

// oldestFirst returns the requests in the order of their arrival.
func (s *requestSet) oldestFirst() []*requestProgress {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*requestProgress, 0, len(s.requests))
	for p := range s.requests {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *requestProgress) int { return cmp.Or(a.start.Compare(b.start), cmp.Compare(a.id, b.id)) })
	return list
}

// LogUnanswered logs the clients' requests that the exit of this instance at now leaves without a complete answer, and how many
// answers to other instances are missing.
func (f *Forwarder) LogUnanswered(now time.Time) {
	unanswered := f.inFlight.oldestFirst()
	for _, p := range unanswered[:min(len(unanswered), maxUnansweredLines)] {
		klog.InfoS("request is cut by the exit", "id", loggable(p.id), "stage", stage(p.stage.Load()).String(), "took", now.Sub(p.start))
	}
	klog.InfoS("shutdown ends", "requests_cut", len(unanswered), "hops_cut", f.hops.Load())
}
