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
	atWork                 // it waits for a server or for the answer
	answering              // its answer is being written
)

// String implements fmt.Stringer.
func (s stage) String() string { return [...]string{"reading", "at_work", "answering"}[s] }

// progress is the progress of one client's request.
type progress struct {
	id    string
	start time.Time
	stage atomic.Int32
}

// enter records that the request has reached a stage.
func (p *progress) enter(s stage) { p.stage.Store(int32(s)) }

// inFlight holds the clients' requests that have no answer yet. The zero inFlight is empty.
type inFlight struct {
	mu       sync.Mutex
	requests map[*progress]struct{}
}

// begin adds a request that arrived at now.
func (f *inFlight) begin(now time.Time, id string) *progress {
	p := &progress{id: id, start: now}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requests == nil {
		f.requests = map[*progress]struct{}{}
	}
	f.requests[p] = struct{}{}
	return p
}

// end removes a request.
func (f *inFlight) end(p *progress) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.requests, p)
}

// oldestFirst returns the requests in the order of their arrival.
func (f *inFlight) oldestFirst() []*progress {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]*progress, 0, len(f.requests))
	for p := range f.requests {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *progress) int { return cmp.Or(a.start.Compare(b.start), cmp.Compare(a.id, b.id)) })
	return list
}

// LogUnanswered logs the clients' requests that the exit of this instance at now leaves without a complete answer, and how many
// answers to other instances are missing.
func (f *Forwarder) LogUnanswered(now time.Time) {
	unanswered := f.inFlight.oldestFirst()
	for _, p := range unanswered[:min(len(unanswered), maxUnansweredLines)] {
		klog.InfoS("request is cut by the exit", "id", p.id, "stage", stage(p.stage.Load()).String(), "took", now.Sub(p.start))
	}
	klog.InfoS("shutdown ends", "requests_cut", len(unanswered), "hops_cut", f.hops.Load())
}
