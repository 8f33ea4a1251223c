package runner

import (
	"context"
	"time"

	"github.com/wasabibank/wasabibank/internal/commander"
	"github.com/wasabibank/wasabibank/internal/forwarder"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/router"
	"github.com/wasabibank/wasabibank/internal/tracer"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// observer counts what traffic shows.
type observer struct {
	meter *meter.Meter
	ring  *tracer.Ring
	loads *loadMeter
}

// Observe implements forwarder.Observer.
func (o observer) Observe(now time.Time, signal forwarder.Signal) {
	switch s := signal.(type) {
	case forwarder.ServerAnswered:
		o.loads.answered(now, s.Partition, s.Key, s.Took)
	case forwarder.ServerRefused:
		o.meter.CountServerRefusal(s.Reason)
	case forwarder.RequestEnded:
		o.ended(now, s)
	}
}

func (o observer) ended(now time.Time, e forwarder.RequestEnded) {
	o.meter.Count(meter.RequestsReceived)
	o.meter.ObserveRequest(e.Took)
	if e.Reason != "" {
		o.meter.CountRefusal(e.Reason)
	}
	if e.Forwarded {
		o.meter.Count(meter.RequestsForwarded)
	}
	if forwarder.Reason(e.Reason) == forwarder.ReasonRepeat {
		o.meter.Count(meter.RequestsRepeated)
	}
	if e.Cut && e.Status == 0 {
		o.meter.Count(meter.RequestsCancelled)
	}
	if e.Cut && e.Status != 0 {
		o.meter.Count(meter.AnswersCut)
		o.ring.Add(now, 0, tracer.KindAnswerCut, string(e.Service), e.Reason)
	}
	switch e.Outcome {
	case forwarder.OutcomeAnswered:
		o.meter.Count(meter.RequestsAnswered)
	case forwarder.OutcomeNotRun:
		o.meter.Count(meter.RequestsNotRun)
	case forwarder.OutcomeUnknown:
		o.meter.Count(meter.RequestsUnknown)
		o.ring.Add(now, 0, tracer.KindRequestUnknown, string(e.Service), e.Reason)
	}
}

// cancelQueue is how many cancels may wait to be sent; more are dropped, as a cancel only saves work.
const cancelQueue = 256

// cancelTimeout bounds one cancel.
const cancelTimeout = 250 * time.Millisecond

// cancel is one request that nobody waits for any more.
type cancel struct {
	server     identifier.ServerName
	address    string
	exchangeID string
}

// canceller sends cancels to backend servers, one at a time.
type canceller struct {
	servers *commander.Client
	table   *router.Table
	meter   *meter.Meter
	queue   chan cancel
}

func newCanceller(servers *commander.Client, table *router.Table, m *meter.Meter) *canceller {
	return &canceller{servers: servers, table: table, meter: m, queue: make(chan cancel, cancelQueue)}
}

// Cancel implements forwarder.Canceller.
func (c *canceller) Cancel(server identifier.ServerName, address string, exchangeID string) {
	select {
	case c.queue <- cancel{server: server, address: address, exchangeID: exchangeID}:
	default:
	}
}

func (c *canceller) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case one := <-c.queue:
			c.send(ctx, one)
		}
	}
}

func (c *canceller) send(ctx context.Context, one cancel) {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	view := c.table.View()
	front := view.GetFrontByServer(one.server)
	if front.Instance() != view.Self() {
		return
	}
	c.meter.Count(meter.CancelsSent)
	_, _ = c.servers.Cancel(ctx, one.address, commander.Cancel{
		Issuer:     view.Self(),
		Term:       front.Term(),
		ExchangeID: one.exchangeID,
	})
}
