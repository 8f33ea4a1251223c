package loadtester

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestInvalidPlansAreRejected(t *testing.T) {
	tests := map[string]struct {
		raw   string
		valid bool
	}{
		"valid": {
			raw: "rate: 10\ncount: 5\nretry_pause: 50ms\nkeys: {distribution: hot, hot_every: 2s}\n" +
				"classes:\n- {name: a, host: h, path: /p/, timeout: 2s}\n",
			valid: true,
		},
		"unknown field":              {raw: "rate: 10\ncount: 5\nclases: []\n"},
		"no rate":                    {raw: "count: 5\nclasses: [{name: a, host: h, path: /p/}]\n"},
		"neither count nor duration": {raw: "rate: 5\nclasses: [{name: a, host: h, path: /p/}]\n"},
		"both count and duration":    {raw: "rate: 5\ncount: 5\nduration: 2s\nclasses: [{name: a, host: h, path: /p/}]\n"},
		"no class":                   {raw: "rate: 5\ncount: 5\n"},
		"no host":                    {raw: "rate: 5\ncount: 5\nclasses: [{name: a, path: /p/}]\n"},
		"path without slashes":       {raw: "rate: 5\ncount: 5\nclasses: [{name: a, host: h, path: p}]\n"},
		"hot_share above 1":          {raw: "rate: 5\ncount: 5\nkeys: {hot_share: 2}\nclasses: [{name: a, host: h, path: /p/}]\n"},
		"unknown distribution": {
			raw: "rate: 5\ncount: 5\nkeys: {distribution: normal}\nclasses: [{name: a, host: h, path: /p/}]\n",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			plan, err := DecodePlan([]byte(tc.raw))
			if err == nil {
				_, err = plan.checkedWithDefaults()
			}
			is.Equal(err == nil, tc.valid)
		})
	}
}

func TestGeneratorIsDeterministicAndFollowsTheDistribution(t *testing.T) {
	tests := map[string]struct {
		keys             Keys
		key0MostFrequent bool
	}{
		"uniform":         {keys: Keys{Count: 50}},
		"zipf":            {keys: Keys{Distribution: DistributionZipf, Count: 50}, key0MostFrequent: true},
		"hot key":         {keys: Keys{Distribution: DistributionHot, Count: 50}, key0MostFrequent: true},
		"hot key changes": {keys: Keys{Distribution: DistributionHot, Count: 50, HotEvery: 100 * time.Millisecond}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			plan := testPlan()
			plan.Count, plan.Keys, plan.Rate = 2000, tc.keys, 1000
			plan, err := plan.checkedWithDefaults()
			is.NoErr(err)
			counts := map[uint16]int{}
			first, second := newGenerator(plan, "t"), newGenerator(plan, "t")
			for {
				r, ok := first.next()
				again, _ := second.next()
				is.Equal(r, again) // the same seed gives the same requests
				if !ok {
					break
				}
				counts[r.key]++
			}
			mostFrequent := uint16(0)
			for key, n := range counts {
				if n > counts[mostFrequent] {
					mostFrequent = key
				}
			}
			if tc.key0MostFrequent {
				is.Equal(mostFrequent, uint16(0))
				return
			}
			// 40 of the 2000 requests for each of the 50 keys; a single hot key would get about 1000.
			is.True(counts[mostFrequent] < 200)
		})
	}
}
