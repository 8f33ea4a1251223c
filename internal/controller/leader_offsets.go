package controller

import (
	"time"

	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/platform"
)

// leaderOffsets tells how far the leader has read the topics. The leader reads the store itself and sends its offsets
// with each answer to a report, so that an instance notices when its relay can't reach the store.
type leaderOffsets struct {
	validUntil time.Time        // when the leader's next answer is overdue
	era        uint64           // of the store
	offsets    map[string]int64 // offset after the last record that the leader has read, by topic
}

// decodeLeaderOffsets returns the leader's offsets in its answer to a report, valid for validFor. It returns nil
// unless the leader reaches the store without delay and has read both topics.
func decodeLeaderOffsets(now time.Time, validFor time.Duration, reply *herald.ReportReply) *leaderOffsets {
	_, operators := reply.GetRead()[platform.TopicOperators]
	_, servers := reply.GetRead()[platform.TopicServers]
	if !reply.GetLeading() || reply.GetStoreLost() || reply.GetStoreSlow() || !operators || !servers {
		return nil
	}
	return &leaderOffsets{validUntil: now.Add(validFor), era: reply.GetStoreEra(), offsets: reply.GetRead()}
}

// valid reports whether the leader has answered recently, so that relays can be checked against its offsets.
func (o *leaderOffsets) valid(now time.Time) bool { return o != nil && now.Before(o.validUntil) }

// extended returns the offsets with a validity that is longer by delay, if that is positive.
func (o *leaderOffsets) extended(delay time.Duration) *leaderOffsets {
	if o == nil || delay <= 0 {
		return o
	}
	extended := *o
	extended.validUntil = o.validUntil.Add(delay)
	return &extended
}

// ahead reports whether the leader has read a topic further than from, or in a later era.
func (o *leaderOffsets) ahead(topic string, from platform.Position) bool {
	return from.Era < o.era || from.Era == o.era && from.Offset < o.offsets[topic]
}
