package controller

import (
	"context"
	"time"
	"unicode/utf8"

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
		return c.fetchFull(ctx, request.GetTopic(), request.GetEra())
	}
	from := platform.Position{Era: request.GetEra(), Offset: request.GetFrom()}
	if request.GetLook() {
		if err := c.refresh(ctx, request.GetTopic(), from.Era, false); err != nil {
			return nil, twirp.NewError(twirp.Unavailable, err.Error())
		}
	}
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, relayWait)
	records, next, err := c.cache.read(ctx, request.GetTopic(), from, wait)
	switch {
	case err == nil:
		return encodeRecords(records, next), nil
	case platform.IsErrExpired(err):
		return &herald.FetchReply{Next: from.Offset, Expired: true, Era: next.Era}, nil
	case !c.cache.isReachable(request.GetTopic()):
		return nil, twirp.NewError(twirp.Unavailable, "the store is lost")
	}
	return nil, twirp.NewError(twirp.NotFound, errNotCached.Error())
}

// fetchFull returns all records of a topic in an era of the store or a later one, from the cache if that has them.
func (c *Controller) fetchFull(ctx context.Context, topic string, era uint64) (*herald.FetchReply, error) {
	if err := c.refresh(ctx, topic, era, true); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	records, next, ok := c.cache.snapshot(topic, era)
	if !ok {
		return nil, twirp.NewError(twirp.Unavailable, "the store is lost")
	}
	return encodeRecords(records, next), nil
}

// refresh reads the new records of a topic from the store into the cache or, if it lacks earlier ones of the era, all
// records; full says that it must have the newest record of each key. Calls within relayWait share one read. It fails at
// once if the store has just failed.
func (c *Controller) refresh(ctx context.Context, topic string, era uint64, full bool) error {
	done, err := c.cache.beginRefresh(ctx, topic)
	if err != nil {
		return err
	}
	defer done()
	now := timekeeper.Now()
	from, loaded, due := c.cache.refreshDue(topic, era, now.Add(-relayWait))
	_, _, complete := c.cache.snapshot(topic, era)
	full = full && !complete
	switch {
	case !due && !full:
		return nil
	case !loaded && !full:
		return errors.New("the topic was not read yet")
	case c.cache.lastCallFailedAfter(now.Add(-maxReadRetryDelay)):
		return errStoreUnreachable
	}
	// The result serves other calls too, so the read does not end with ctx.
	records, next, err := c.callStore(c.context, topic, from, full, 0)
	if platform.IsErrExpired(err) {
		full = true
		records, next, err = c.callStore(c.context, topic, from, full, 0)
	}
	if err != nil {
		c.cache.markUnreachable(topic, timekeeper.Now())
		return err
	}
	c.cache.add(topic, full, records, next, now)
	c.post(func(now time.Time) { c.elector.ObserveEra(now, next.Era) })
	if len(records) > 0 {
		c.interruptReads() // the store may have lost the read that waits here without an error
	}
	return nil
}

// encodeRecords returns the answer with records, and the position after them. Records whose keys can't be sent, because they are no
// UTF-8, are left out: such a key names nothing that instances use.
func encodeRecords(records []platform.Record, next platform.Position) *herald.FetchReply {
	reply := &herald.FetchReply{Next: next.Offset, Era: next.Era}
	for _, r := range records {
		if !utf8.ValidString(r.Key) {
			continue
		}
		reply.Records = append(reply.Records, &herald.Record{Key: r.Key, Value: r.Value, Gone: r.Value == nil, Offset: r.Offset})
	}
	return reply
}

// fetchFrom reads a topic through another instance. The error is errStoreUnreachable if that instance can't reach the store,
// and a platform.ErrExpired if all records have to be read. An answer from an earlier era of the store than that of the
// request is an error.
func (c *Controller) fetchFrom(
	ctx context.Context, address string, request *herald.FetchRequest, timeout time.Duration,
) ([]platform.Record, platform.Position, error) {
	from := platform.Position{Era: request.GetEra(), Offset: request.GetFrom()}
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
	next := platform.Position{Era: reply.GetEra(), Offset: reply.GetNext()}
	switch {
	case next.Era < from.Era:
		return nil, from, errors.Errorf("the other instance is in era %d of the store, this one in %d", next.Era, from.Era)
	case reply.GetExpired(), next.Era > from.Era && !request.GetWhole():
		return nil, next, platform.ErrExpired{}
	}
	var records []platform.Record
	for _, r := range reply.GetRecords() {
		record := platform.Record{Key: r.GetKey(), Offset: r.GetOffset()}
		if !r.GetGone() {
			record.Value = r.GetValue()
		}
		records = append(records, record)
	}
	return records, next, nil
}
