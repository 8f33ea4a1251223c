package controller

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/internal/timekeeper"
	"github.com/wasabibank/wasabibank/platform"
)

// errStoreLost says that the instance that was asked does not reach the store either.
var errStoreLost = errors.New("the store is not reached there either")

// Fetch implements herald.Herald.
func (c *Controller) Fetch(ctx context.Context, request *herald.FetchRequest) (*herald.FetchReply, error) {
	if request.GetWhole() {
		return c.fetchWhole(ctx, request.GetTopic())
	}
	if request.GetLook() {
		if err := c.look(ctx, request.GetTopic()); err != nil {
			return nil, twirp.NewError(twirp.Unavailable, err.Error())
		}
	}
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, relayWait)
	records, next, ok := c.relay.read(ctx, request.GetTopic(), request.GetFrom(), wait)
	switch {
	case ok:
		return encodeRecords(records, next), nil
	case !c.relay.isLive(request.GetTopic()):
		return nil, twirp.NewError(twirp.Unavailable, "the store is lost")
	}
	return nil, twirp.NewError(twirp.NotFound, "records are not here")
}

// fetchWhole reads a topic from the store for an instance that can't.
func (c *Controller) fetchWhole(ctx context.Context, topic string) (*herald.FetchReply, error) {
	if c.relay.failedSince(timekeeper.Now().Add(-readRetryMax)) {
		return nil, twirp.NewError(twirp.Unavailable, "the store is lost")
	}
	records, next, err := c.options.Store.Newest(ctx, topic)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return encodeRecords(records, next), nil
}

// look asks the store for what is new in a topic, for all instances that ask within relayWait. It fails at once where
// the store was not reached just now.
func (c *Controller) look(ctx context.Context, topic string) error {
	done, err := c.relay.beginLook(ctx, topic)
	if err != nil {
		return err
	}
	defer done()
	now := timekeeper.Now()
	from, due := c.relay.lookDue(topic, now.Add(-relayWait))
	switch {
	case !due:
		return nil
	case from < 0:
		return errors.New("the topic was not read yet")
	case c.relay.failedSince(now.Add(-readRetryMax)):
		return errStoreLost
	}
	records, next, err := c.options.Store.Changes(c.context, topic, from, 0) // for others as well
	if err != nil {
		c.relay.lose(topic, timekeeper.Now())
		return err
	}
	c.relay.add(topic, false, records, next, now)
	if len(records) > 0 {
		c.breakOff() // the read that waits here may have been lost without a trace
	}
	return nil
}

func encodeRecords(records []platform.Record, next int64) *herald.FetchReply {
	reply := &herald.FetchReply{Next: next}
	for _, r := range records {
		reply.Records = append(reply.Records, &herald.Record{Key: r.Key, Value: r.Value, Gone: r.Value == nil, Offset: r.Offset})
	}
	return reply
}

// fetch reads a topic through another instance. The error is errStoreLost where that one does not reach the store.
func (c *Controller) fetch(
	ctx context.Context, address string, request *herald.FetchRequest, timeout time.Duration,
) ([]platform.Record, int64, error) {
	from := request.GetFrom()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	peer := herald.NewHeraldProtobufClient("http://"+address, c.peers.http())
	reply, err := peer.Fetch(ctx, request)
	var refused twirp.Error
	if errors.As(err, &refused) && refused.Code() == twirp.Unavailable {
		return nil, from, errStoreLost
	}
	if err != nil {
		return nil, from, errors.Wrap(err, "fetch through another instance")
	}
	var records []platform.Record
	for _, r := range reply.GetRecords() {
		record := platform.Record{Key: r.GetKey(), Offset: r.GetOffset()}
		if !r.GetGone() {
			record.Value = r.GetValue()
		}
		records = append(records, record)
	}
	return records, reply.GetNext(), nil
}
