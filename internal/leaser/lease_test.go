package leaser

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wasabibank/wasabibank/internal/reducer"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// start is the beginning of the tests' time.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func witnessIDs(n int) []identifier.InstanceID {
	ids := make([]identifier.InstanceID, 0, n)
	for i := range n {
		ids = append(ids, identifier.InstanceID("w"+strconv.Itoa(i)))
	}
	return ids
}

// TestPledgesMeetReleases draws a set of pledges that suffices and a set of releases that suffices: they share a witness.
func TestPledgesMeetReleases(t *testing.T) {
	const most = 12
	rapid.Check(t, func(rt *rapid.T) {
		ids := witnessIDs(rapid.IntRange(0, most).Draw(rt, "witnesses"))
		member := reducer.Member{Witnesses: ids}
		needed := member.PledgesNeeded()
		if len(ids) == 0 {
			if needed != 0 {
				rt.Fatal("pledges of nobody suffice")
			}
			return
		}
		pledged := rapid.Permutation(ids).Draw(rt, "pledged")[:needed]
		released := rapid.Permutation(ids).Draw(rt, "released")[:member.ReleasesNeeded()]
		shared := slices.ContainsFunc(pledged, func(id identifier.InstanceID) bool { return slices.Contains(released, id) })
		if !shared {
			rt.Fatalf("%v pledged and %v released", pledged, released)
		}
	})
}

func TestUntil(t *testing.T) {
	const limit = 10 * time.Second
	ids := witnessIDs(4)
	set := func(needed int, ids ...identifier.InstanceID) WitnessSet {
		return WitnessSet{Witnesses: ids, Needed: needed}
	}
	tests := map[string]struct {
		sets    []WitnessSet
		policy  OutagePolicy
		pledges []time.Duration
		limit   time.Duration
		unread  bool
		want    time.Duration
	}{
		"log alone":                    {sets: []WitnessSet{set(2, ids[:3]...)}, want: time.Second},
		"majority":                     {sets: []WitnessSet{set(2, ids[:3]...)}, pledges: []time.Duration{5, 3, 0}, want: 3 * time.Second},
		"too few":                      {sets: []WitnessSet{set(2, ids[:3]...)}, pledges: []time.Duration{5, 0, 0}, want: time.Second},
		"shorter pledges, longer log":  {sets: []WitnessSet{set(1, ids[0])}, pledges: []time.Duration{0}, want: time.Second},
		"no witness":                   {sets: []WitnessSet{{}}, pledges: []time.Duration{5, 5}, want: time.Second},
		"none needed is no permission": {sets: []WitnessSet{set(0, ids[:3]...)}, pledges: []time.Duration{5, 5, 5}, want: time.Second},
		"pledge of a stranger":         {sets: []WitnessSet{set(1, ids[3])}, pledges: []time.Duration{5, 5, 5}, want: time.Second},
		"both sets":                    {sets: []WitnessSet{set(1, ids[0]), set(1, ids[1])}, pledges: []time.Duration{5, 3}, want: 3 * time.Second},
		"one of two sets":              {sets: []WitnessSet{set(1, ids[0]), set(1, ids[2])}, pledges: []time.Duration{5, 3}, want: time.Second},
		"outage limit":                 {sets: []WitnessSet{set(1, ids[0])}, pledges: []time.Duration{50}, want: limit},
		"all":                          {sets: []WitnessSet{set(2, ids[:3]...)}, policy: OutageAll, pledges: []time.Duration{5, 3, 2}, want: 2 * time.Second},
		"stop":                         {sets: []WitnessSet{set(2, ids[:3]...)}, policy: OutageStop, pledges: []time.Duration{5, 5, 5}, want: time.Second},
		"log never read":               {sets: []WitnessSet{set(1, ids[0])}, pledges: []time.Duration{5}, unread: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var lease Lease
			if !tc.unread {
				lease.Renew(start, time.Second)
			}
			for i, seconds := range tc.pledges {
				lease.Pledged(ids[i], start, seconds*time.Second)
			}
			until := lease.Until(tc.sets, tc.policy, limit)
			if tc.unread {
				is.True(until.IsZero())
				return
			}
			is.Equal(until, start.Add(tc.want))
			lease.Forget()
			is.True(lease.Until(tc.sets, tc.policy, limit).IsZero())
		})
	}
}

func TestOlderReadsAndPledgesShortenNothing(t *testing.T) {
	is := is.New(t)
	var lease Lease
	lease.Renew(start.Add(time.Second), time.Second)
	lease.Renew(start, time.Second)
	is.Equal(lease.CurrentAt(), start.Add(time.Second))
	is.True(lease.Current(start.Add(2*time.Second - 1)))
	is.True(!lease.Current(start.Add(2 * time.Second)))
	ids := witnessIDs(1)
	lease.Pledged(ids[0], start.Add(3*time.Second), time.Second)
	lease.Pledged(ids[0], start, time.Second)
	sets := []WitnessSet{{Witnesses: ids, Needed: 1}}
	is.Equal(lease.Until(sets, OutageMajority, time.Minute), start.Add(4*time.Second))
}
