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

// errStoreUnreachable says that the store can't be reached, from here or from the instance that was asked.
var errStoreUnreachable = errors.New("the store is not reached there either")

// Fetch implements herald.Herald.
func (c *Controller) Fetch(ctx context.Context, request *herald.FetchRequest) (*herald.FetchReply, error) {
	if request.GetWhole() {
		return c.fetchFull(ctx, request.GetTopic())
	}
	if request.GetLook() {
		if err := c.refresh(ctx, request.GetTopic()); err != nil {
			return nil, twirp.NewError(twirp.Unavailable, err.Error())
		}
	}
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, relayWait)
	records, next, ok := c.cache.read(ctx, request.GetTopic(), request.GetFrom(), wait)
	switch {
	case ok:
		return encodeRecords(records, next), nil
	case !c.cache.isReachable(request.GetTopic()):
		return nil, twirp.NewError(twirp.Unavailable, "the store is lost")
	}
	return nil, twirp.NewError(twirp.NotFound, "records are not here")
}

// fetchFull reads all records of a topic from the store, for an instance that can't reach it.
func (c *Controller) fetchFull(ctx context.Context, topic string) (*herald.FetchReply, error) {
	if c.cache.lastCallFailedAfter(timekeeper.Now().Add(-maxReadRetryDelay)) {
		return nil, twirp.NewError(twirp.Unavailable, "the store is lost")
	}
	records, next, err := c.options.Store.Newest(ctx, topic)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return encodeRecords(records, next), nil
}

// refresh reads the new records of a topic from the store into the cache. Calls within relayWait share one read. It fails
// at once if the store has just failed.
func (c *Controller) refresh(ctx context.Context, topic string) error {
	done, err := c.cache.beginRefresh(ctx, topic)
	if err != nil {
		return err
	}
	defer done()
	now := timekeeper.Now()
	from, due := c.cache.refreshDue(topic, now.Add(-relayWait))
	switch {
	case !due:
		return nil
	case from < 0:
		return errors.New("the topic was not read yet")
	case c.cache.lastCallFailedAfter(now.Add(-maxReadRetryDelay)):
		return errStoreUnreachable
	}
	// The result serves other calls too, so the read does not end with ctx.
	records, next, err := c.options.Store.Changes(c.context, topic, from, 0)
	if err != nil {
		c.cache.markUnreachable(topic, timekeeper.Now())
		return err
	}
	c.cache.add(topic, false, records, next, now)
	if len(records) > 0 {
		c.interruptReads() // the store may have lost the read that waits here without an error
	}
	return nil
}

// encodeRecords returns the answer with records, and the offset after them.
func encodeRecords(records []platform.Record, next int64) *herald.FetchReply {
	reply := &herald.FetchReply{Next: next}
	for _, r := range records {
		reply.Records = append(reply.Records, &herald.Record{Key: r.Key, Value: r.Value, Gone: r.Value == nil, Offset: r.Offset})
	}
	return reply
}

// fetchFrom reads a topic through another instance. The error is errStoreUnreachable if that instance can't reach the store.
func (c *Controller) fetchFrom(
	ctx context.Context, address string, request *herald.FetchRequest, timeout time.Duration,
) ([]platform.Record, int64, error) {
	from := request.GetFrom()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	peer := herald.NewHeraldProtobufClient("http://"+address, c.peers.httpClient())
	reply, err := peer.Fetch(ctx, request)
	var refused twirp.Error
	if errors.As(err, &refused) && refused.Code() == twirp.Unavailable {
		return nil, from, errStoreUnreachable
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
