package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/elector"
	"github.com/wasabibank/wasabibank/internal/granter"
	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/internal/partitioner"
	"github.com/wasabibank/wasabibank/internal/timekeeper"
)

// TestNewLeaderWaitsForAllEarlierLeaders guards against a next owner of a range whose server the new leader does not reach, while a leader
// before the previous one may still renew its lease, and against a longer wait when no such leader can be left: as after a loss of power
// of all instances in calm, where the previous leader was sole.
func TestNewLeaderWaitsForAllEarlierLeaders(t *testing.T) {
	short := GrantSettings.MaxLeaseLifetime()
	long := ElectionSettings.LeaseDuration + short
	tests := map[string]struct {
		instance string // of the previous leader
		sole     bool   // its record says that it was sole
		reply    func(lead elector.Leader) *herald.PublishReply
		wait     time.Duration
		becomes  bool // the new leader's record says at once that it is sole
	}{
		"restarted, was sole":            {instance: "old", sole: true, reply: restartedReply, wait: short, becomes: true},
		"restarted, was not":             {instance: "old", reply: restartedReply, wait: long},
		"stopped, was sole":              {instance: "old", sole: true, reply: stoppedReply, wait: short, becomes: true},
		"stopped, was not":               {instance: "old", reply: stoppedReply, wait: long},
		"stopped, leases, was sole":      {instance: "old", sole: true, reply: leasesReply, wait: time.Second, becomes: true},
		"stopped, leases, was not":       {instance: "old", reply: leasesReply, wait: time.Second},
		"stopped, other leases, was not": {instance: "old", reply: leasesOfOtherKeysReply, wait: long},
		"no answer, was sole":            {instance: "old", sole: true, wait: long},
		"own incarnation, was sole":      {instance: "self", sole: true, wait: short, becomes: true},
		"own incarnation, was not":       {instance: "self", wait: long},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newControllerWithServers(t, "127.0.0.1:1")
			now := timekeeper.Now()
			previous := elector.Leader{Term: 3, Sole: test.sole, Identity: elector.Identity{
				Instance: test.instance, Incarnation: 9, Address: "127.0.0.1:1",
			}}
			whole := partitioner.Range{Last: partitioner.MaxKey}
			c.plan = encodePlan(3, 1, []granter.Assignment{{Service: "desk", Range: whole, Server: "a"}})
			c.elector = elector.New(ElectionSettings, now, elector.Identity{Instance: "self"}, 0, false)
			_ = c.elector.Tick(now)
			c.elector.CompleteRead(now, 0, 5, decodeLeader(encodeLeader(previous, "")), 1)
			for range ElectionSettings.RefusalThreshold {
				c.elector.ReportFailed(previous, true)
			}
			now = now.Add(ElectionSettings.RetryDelay)
			c.elector.AppendAcknowledged(now, now, c.elector.Tick(now), 0, 5)
			began := now
			c.updateLeadership(now)
			l := c.leaderState
			if test.reply != nil {
				c.handlePublishReply(now, test.reply(previous))
				is.Equal(l.predecessor, elector.Identity{})
			}
			now = now.Add(ElectionSettings.RenewInterval)
			is.Equal(c.elector.Tick(now).(elector.AppendLeader).Leader.Sole, test.becomes)
			for ; now.Before(began.Add(2 * long)); now = now.Add(50 * time.Millisecond) {
				_, sequence, _ := l.granter.Plan()
				l.granter.SetStoredPlans(sequence, sequence)
				for _, order := range l.granter.Tick(now) {
					if grant, ok := order.(granter.Grant); ok && grant.Server == "a" {
						l.granter.CompleteGrant(now, grant, granter.NotSent)
					}
				}
				if s := l.granter.Segments(now)[0]; s.Server == "b" {
					waited := now.Sub(began)
					is.True(waited >= test.wait && waited < test.wait+time.Second)
					return
				}
			}
			t.Fatal("no next owner")
		})
	}
}

func stoppedReply(lead elector.Leader) *herald.PublishReply {
	return &herald.PublishReply{Member: &herald.Member{Instance: lead.Identity.Instance, Incarnation: lead.Identity.Incarnation}}
}

func restartedReply(lead elector.Leader) *herald.PublishReply {
	reply := stoppedReply(lead)
	reply.Member.Incarnation++
	return reply
}

func leasesReply(lead elector.Leader) *herald.PublishReply {
	reply := stoppedReply(lead)
	reply.Leases = encodeLeases(lead.Term, []granter.RangeLease{
		{Service: "desk", Range: partitioner.Range{Last: partitioner.MaxKey}, Answered: time.Second},
	})
	return reply
}

func leasesOfOtherKeysReply(lead elector.Leader) *herald.PublishReply {
	reply := leasesReply(lead)
	reply.Leases.Ranges[0].Last--
	return reply
}
