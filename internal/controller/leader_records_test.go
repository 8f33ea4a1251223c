package controller

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/elector"
	"github.com/wasabibank/wasabibank/internal/granter"
	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/internal/partitioner"
	"github.com/wasabibank/wasabibank/platform"
)

// TestDecodePlanRejectsAmbiguousPlans guards against a plan by which two servers own a key, or by which a key has no range and is never
// served: the leader must distrust it as a whole.
func TestDecodePlanRejectsAmbiguousPlans(t *testing.T) {
	segment := func(service, first, last uint32) *herald.Segment {
		return &herald.Segment{Service: service, First: first, Last: last, Server: "s"}
	}
	tests := map[string]struct {
		segments []*herald.Segment
		valid    bool
	}{
		"adjacent":                 {segments: []*herald.Segment{segment(0, 0, 99), segment(0, 100, 65535)}, valid: true},
		"same keys, two services":  {segments: []*herald.Segment{segment(0, 0, 65535), segment(1, 0, 65535)}, valid: true},
		"empty":                    {valid: true},
		"overlapping":              {segments: []*herald.Segment{segment(0, 0, 100), segment(0, 100, 65535)}},
		"twice":                    {segments: []*herald.Segment{segment(0, 0, 65535), segment(0, 0, 65535)}},
		"key out of range":         {segments: []*herald.Segment{segment(0, 0, 65536)}},
		"last key before first":    {segments: []*herald.Segment{segment(0, 7, 6)}},
		"service without a name":   {segments: []*herald.Segment{segment(2, 0, 65535)}},
		"service beyond any index": {segments: []*herald.Segment{segment(1<<32-1, 0, 65535)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := decodePlan(marshal(&herald.Plan{Term: 1, Services: []string{"desk", "vault"}, Segments: test.segments}))
			is.Equal(err == nil, test.valid)
		})
	}
}

// TestPlanNamesIncarnationsOnlyOfItsLeader guards against a leader that relies on an incarnation that a later leader, of a build that
// records none, may have replaced.
func TestPlanNamesIncarnationsOnlyOfItsLeader(t *testing.T) {
	assignments := []granter.Assignment{
		{Service: "desk", Range: partitioner.Range{Last: 99}, Server: "s", Incarnation: 5},
		{Service: "desk", Range: partitioner.Range{First: 100, Last: partitioner.MaxKey}},
	}
	withoutIncarnations := &herald.Plan{Term: 7, Services: []string{"desk"}, Segments: []*herald.Segment{{Last: 65535, Server: "s"}}}
	tests := map[string]struct {
		leader uint64
		plan   []byte
		want   int64
	}{
		"plan of the leader":                   {leader: 7, plan: encodePlan(7, 2, assignments), want: 5},
		"plan of an earlier leader":            {leader: 9, plan: encodePlan(7, 2, assignments)},
		"plan of a build that records none":    {leader: 7, plan: marshal(withoutIncarnations)},
		"plan with fewer incarnations":         {leader: 7, plan: marshal(&herald.Plan{Term: 7, Services: []string{"desk"}, Segments: withoutIncarnations.Segments, Incarnations: []int64{5, 6}})},
		"the leader's record can't be decoded": {leader: 0, plan: encodePlan(7, 2, assignments)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newTestController(t, http.NotFound)
			c.handleLeaderRecords(time.Unix(1000, 0), []platform.Record{
				{Key: keyLeader, Value: marshal(&herald.Lead{Term: test.leader})}, {Key: keyPlan, Value: test.plan},
			}, platform.Position{Offset: 3})
			read, err := c.readPlan()
			is.NoErr(err)
			is.Equal(read[0].Server, "s")
			is.Equal(read[0].Incarnation, test.want)
		})
	}
}

// FuzzLeaderRecords feeds odd records to a reader of leaderTopic, and makes it lead by them.
func FuzzLeaderRecords(f *testing.F) {
	lead := marshal(&herald.Lead{Term: 7, Member: &herald.Member{Instance: "a", Incarnation: 3, Address: "10.0.0.9:1"}})
	plan := encodePlan(7, 2, []granter.Assignment{{Service: "desk", Range: partitioner.Range{Last: partitioner.MaxKey}, Server: "s"}})
	f.Add(lead, plan)
	f.Add([]byte("\xff"), []byte("\xff"))
	f.Add(plan, lead)
	f.Add(lead[:len(lead)/2], plan[:len(plan)/2])
	f.Add(marshal(&herald.Lead{Term: 1<<64 - 1}), marshal(&herald.Plan{Term: 1<<64 - 1, Sequence: 1<<64 - 1}))
	f.Fuzz(func(t *testing.T, lead, plan []byte) {
		c := newTestController(t, http.NotFound)
		now := time.Unix(1000, 0)
		c.handleLeaderRecords(now, []platform.Record{{Key: keyLeader, Value: lead}, {Key: keyPlan, Value: plan}, {Key: "odd"}},
			platform.Position{Offset: 3})
		assignments, err := decodePlan(c.plan)
		term := newLeaderTerm(now, c.grantSettings, 9, elector.Election{Certain: true}, storedPlan{assignments: assignments, exists: true, err: err})
		owners := map[uint16]string{}
		for _, s := range term.granter.Segments(now) {
			for key := int(s.Range.First); key <= int(s.Range.Last) && s.Service == "desk"; key++ {
				if owner, known := owners[uint16(key)]; known {
					t.Fatalf("key %d has the owners %q and %q", key, owner, s.Server)
				}
				owners[uint16(key)] = s.Server
			}
		}
	})
}
