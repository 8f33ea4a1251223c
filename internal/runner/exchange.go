package runner

import (
	"context"
	"time"

	"github.com/wasabibank/wasabibank/internal/controller"
	"github.com/wasabibank/wasabibank/internal/messenger"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/translator"
)

// responder answers the heartbeats of peers on the control thread.
type responder struct {
	loop *loop
}

// RespondExchange implements messenger.Responder.
func (r responder) RespondExchange(ctx context.Context, message *messenger.ExchangeRequest) (*messenger.ExchangeReply, error) {
	l := r.loop
	l.ring.Observe(time.Now(), translator.Hybrid(message.GetClock()))
	answer := make(chan controller.ExchangeReply, 1)
	l.call(ctx, func(now time.Time) { answer <- l.control.RespondExchange(now, translator.Request(message)) })
	select {
	case reply := <-answer:
		l.meter.Count(meter.ExchangesAnswered)
		if reply.Pledge > 0 {
			l.meter.Count(meter.PledgesGiven)
		} else {
			l.meter.Count(meter.PledgesRefused)
		}
		return translator.ReplyMessage(reply, l.ring.Read(time.Now())), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
