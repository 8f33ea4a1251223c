package loadtester

import (
	"context"
	"sync"
	"time"
)

// Settings configures a Run.
type Settings struct {
	Plan Plan
	// Entries are the addresses of the entry instances' client ports, each host:port.
	Entries []string
	// RunID is the prefix of each request id and distinguishes this run from others.
	RunID string
	// Progress is called after each request that was due, sent or not, with their number so far; it may be nil.
	Progress func(sent int)
}

// Run sends the whole load and returns once each request has its outcome. It returns an error if the plan is invalid. When
// ctx is done, Run starts no more requests and waits for those in flight.
func Run(ctx context.Context, settings Settings) (*Tally, error) {
	plan, err := settings.Plan.checkedWithDefaults()
	if err != nil {
		return nil, err
	}
	r := &runner{
		settings: settings,
		plan:     plan,
		sender:   newSender(settings.Entries),
		tally:    newTally(plan),
		inFlight: make(chan struct{}, plan.InFlight),
		start:    time.Now(),
	}
	r.startAll(ctx)
	r.tally.duration = time.Since(r.start)
	r.sender.client.CloseIdleConnections()
	return r.tally, nil
}

// runner is the state of one Run.
type runner struct {
	settings Settings
	plan     Plan
	sender   *sender
	tally    *Tally
	// inFlight holds an element for each request in flight; its capacity limits them.
	inFlight chan struct{}
	start    time.Time
}

// startAll starts each request at its scheduled time, whether or not earlier ones have ended, and waits for all of them.
func (r *runner) startAll(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	requests := newGenerator(r.plan, r.settings.RunID)
	for sent := 1; ; sent++ {
		req, ok := requests.next()
		if !ok || !sleepUntil(ctx, r.start.Add(req.due)) {
			return
		}
		r.startRequest(ctx, &wg, req, sent)
		if r.settings.Progress != nil {
			r.settings.Progress(sent)
		}
	}
}

// startRequest sends req in a goroutine of wg, or records it as not executed if too many requests are in flight.
func (r *runner) startRequest(ctx context.Context, wg *sync.WaitGroup, req request, number int) {
	select {
	case r.inFlight <- struct{}{}:
	default:
		r.tally.add(req, result{outcome: OutcomeNotExecuted, reason: reasonInFlight})
		return
	}
	wg.Go(func() {
		defer func() { <-r.inFlight }()
		r.tally.add(req, r.sendWithRetries(context.WithoutCancel(ctx), req, number))
	})
}

// sendWithRetries sends req, with its retries, and returns the final result. It retries only while the outcome is
// not_run. number selects the first entry; each retry begins at the next one.
func (r *runner) sendWithRetries(ctx context.Context, req request, number int) result {
	due := r.start.Add(req.due)
	ctx, cancel := context.WithDeadline(ctx, due.Add(req.class.Timeout+answerGrace))
	defer cancel()
	body := req.body()
	attempts := 0
	for {
		res := r.sender.sendToAnyEntry(ctx, req, body, number+attempts)
		attempts++
		res.attempts = attempts
		res.latency = time.Since(due)
		if res.outcome != OutcomeNotExecuted || attempts > r.plan.Retries {
			return res
		}
		if !sleepUntil(ctx, time.Now().Add(max(r.plan.RetryDelay, res.retryAfter))) {
			return res
		}
	}
}

// sleepUntil waits until deadline and returns true, or returns false as soon as ctx is done.
func sleepUntil(ctx context.Context, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
