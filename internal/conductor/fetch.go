package conductor

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/platform"
)

// Fetch implements herald.Herald.
func (c *Conductor) Fetch(ctx context.Context, request *herald.FetchRequest) (*herald.FetchReply, error) {
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, relayWait)
	if !request.GetWhole() {
		if records, next, ok := c.relay.read(ctx, request.GetTopic(), request.GetFrom(), wait); ok {
			return encodeRecords(records, next), nil
		}
	}
	if !request.GetStoreLost() {
		return nil, twirp.NewError(twirp.Unavailable, "records are not here")
	}
	records, next, err := c.readStore(ctx, request.GetTopic(), request.GetFrom(), request.GetWhole(), 0)
	if platform.IsErrExpired(err) {
		return &herald.FetchReply{Expired: true}, nil
	}
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return encodeRecords(records, next), nil
}

func encodeRecords(records []platform.Record, next int64) *herald.FetchReply {
	reply := &herald.FetchReply{Next: next}
	for _, r := range records {
		reply.Records = append(reply.Records, &herald.Record{Key: r.Key, Value: r.Value, Gone: r.Value == nil, Offset: r.Offset})
	}
	return reply
}

// fetch reads a topic through another instance.
func (c *Conductor) fetch(
	ctx context.Context, address string, request *herald.FetchRequest, timeout time.Duration,
) ([]platform.Record, int64, error) {
	from := request.GetFrom()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	peer := herald.NewHeraldProtobufClient("http://"+address, c.peers.http())
	reply, err := peer.Fetch(ctx, request)
	if err != nil {
		return nil, from, errors.Wrap(err, "fetch through another instance")
	}
	if reply.GetExpired() {
		return nil, from, platform.ErrExpired{}
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
