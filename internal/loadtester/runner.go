package loadtester

import (
	"context"
	"sync"
	"time"
)

// Settings are the settings of one Run.
type Settings struct {
	Plan Plan
	// Entries are the clients' ports, each host:port.
	Entries []string
	// RunID begins each request id and tells this run apart from others.
	RunID string
	// Progress is called with the count of requests sent so far after each one; nil is nothing.
	Progress func(sent int)
}

// Run sends the whole load and returns once each request has its outcome. The error says what is wrong with the plan.
// When ctx ends no more requests are sent.
func Run(ctx context.Context, settings Settings) (*Tally, error) {
	plan, err := settings.Plan.complete()
	if err != nil {
		return nil, err
	}
	l := &load{
		settings: settings,
		plan:     plan,
		sender:   newSender(settings.Entries),
		tally:    newTally(plan),
		inFlight: make(chan struct{}, plan.InFlight),
		started:  time.Now(),
	}
	l.send(ctx)
	l.tally.duration = time.Since(l.started)
	l.sender.client.CloseIdleConnections()
	return l.tally, nil
}

// load is one run under way.
type load struct {
	settings Settings
	plan     Plan
	sender   *sender
	tally    *Tally
	inFlight chan struct{}
	started  time.Time
}

// send starts each request at its intended time, whatever became of those before.
func (l *load) send(ctx context.Context) {
	var under sync.WaitGroup
	defer under.Wait()
	requests := newSequence(l.plan, l.settings.RunID)
	for sent := 1; ; sent++ {
		r, ok := requests.next()
		if !ok || !sleepUntil(ctx, l.started.Add(r.due)) {
			return
		}
		l.start(ctx, &under, r, sent)
		if l.settings.Progress != nil {
			l.settings.Progress(sent)
		}
	}
}

func (l *load) start(ctx context.Context, under *sync.WaitGroup, r request, number int) {
	select {
	case l.inFlight <- struct{}{}:
	default:
		l.tally.add(r, result{outcome: OutcomeNotRun, reason: reasonInFlight})
		return
	}
	under.Go(func() {
		defer func() { <-l.inFlight }()
		l.tally.add(r, l.run(context.WithoutCancel(ctx), r, number))
	})
}

// run takes one request to its last outcome. It is sent again only while the outcome is not_run.
func (l *load) run(ctx context.Context, r request, number int) result {
	due := l.started.Add(r.due)
	ctx, cancel := context.WithDeadline(ctx, due.Add(r.class.Timeout+answerGrace))
	defer cancel()
	body := r.body()
	attempts := 0
	for {
		res := l.sender.attempt(ctx, r, body, number+attempts)
		attempts++
		res.attempts = attempts
		res.latency = time.Since(due)
		if res.outcome != OutcomeNotRun || attempts > l.plan.Retries {
			return res
		}
		if !sleepUntil(ctx, time.Now().Add(max(l.plan.RetryPause, res.pause))) {
			return res
		}
	}
}

// sleepUntil returns false when ctx ended first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
