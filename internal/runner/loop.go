package runner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/wasabibank/wasabibank/internal/controller"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/tracer"
)

const (
	// tickTime is the time between two ticks of the control thread.
	tickTime = 20 * time.Millisecond
	// inboxSize is how many events may wait for the control thread.
	inboxSize = 1024
)

// loop is the control thread: it owns the Controller, feeds it events one at a time and does what it asks for.
type loop struct {
	control *controller.Controller
	hands   *hands
	meter   *meter.Meter
	ring    *tracer.Ring
	inbox   chan func(now time.Time)
	stopped chan struct{}
	roster  *atomic.Int64
	loads   *loadMeter
	done    bool
}

func newLoop(control *controller.Controller, hands *hands, m *meter.Meter, ring *tracer.Ring) *loop {
	return &loop{
		control: control,
		hands:   hands,
		meter:   m,
		ring:    ring,
		inbox:   make(chan func(now time.Time), inboxSize),
		stopped: make(chan struct{}),
	}
}

// run is the control thread until ctx ends.
func (l *loop) run(ctx context.Context) {
	ticker := time.NewTicker(tickTime)
	defer ticker.Stop()
	now := time.Now()
	l.perform(ctx, now, l.control.Start(now))
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.inbox:
			f(time.Now())
		case <-ticker.C:
			now := time.Now()
			l.step(ctx, now, controller.Tick{})
			l.gauge(now)
		}
	}
}

// post gives an event to the control thread.
func (l *loop) post(ctx context.Context, event controller.Event) {
	l.call(ctx, func(now time.Time) { l.step(ctx, now, event) })
}

// call runs f on the control thread; it returns before f has run.
func (l *loop) call(ctx context.Context, f func(now time.Time)) {
	select {
	case l.inbox <- f:
	case <-ctx.Done():
	}
}

func (l *loop) step(ctx context.Context, now time.Time, event controller.Event) {
	before := l.control.State().Next()
	actions := l.control.Step(now, event)
	l.countFolded(event, before, time.Since(now))
	l.perform(ctx, now, actions)
	l.meter.Observe(meter.ControlStepTime, time.Since(now))
}

func (l *loop) perform(ctx context.Context, now time.Time, actions []controller.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case controller.Note:
			l.note(now, a)
		case controller.Stopped:
			l.stop()
		default:
			l.hands.do(ctx, l, a)
		}
	}
}

func (l *loop) stop() {
	if !l.done {
		l.done = true
		close(l.stopped)
	}
}
