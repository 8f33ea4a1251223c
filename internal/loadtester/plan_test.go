package loadtester

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDecodePlan(t *testing.T) {
	tests := map[string]struct {
		raw  string
		good bool
	}{
		"whole":             {raw: "rate: 10\ncount: 5\nretry_pause: 50ms\nkeys: {distribution: hot, hot_every: 2s}\nclasses:\n- {name: a, host: h, path: /p/, timeout: 2s}\n", good: true},
		"unknown key":       {raw: "rate: 10\ncount: 5\nclases: []\n"},
		"no rate":           {raw: "count: 5\nclasses: [{name: a, host: h, path: /p/}]\n"},
		"neither end":       {raw: "rate: 5\nclasses: [{name: a, host: h, path: /p/}]\n"},
		"both ends":         {raw: "rate: 5\ncount: 5\nduration: 2s\nclasses: [{name: a, host: h, path: /p/}]\n"},
		"no class":          {raw: "rate: 5\ncount: 5\n"},
		"no host":           {raw: "rate: 5\ncount: 5\nclasses: [{name: a, path: /p/}]\n"},
		"no path":           {raw: "rate: 5\ncount: 5\nclasses: [{name: a, host: h, path: p}]\n"},
		"wrong share":       {raw: "rate: 5\ncount: 5\nkeys: {hot_share: 2}\nclasses: [{name: a, host: h, path: /p/}]\n"},
		"wrong kind of key": {raw: "rate: 5\ncount: 5\nkeys: {distribution: normal}\nclasses: [{name: a, host: h, path: /p/}]\n"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			plan, err := DecodePlan([]byte(tc.raw))
			if err == nil {
				_, err = plan.complete()
			}
			is.Equal(err == nil, tc.good)
		})
	}
}

func TestSequence(t *testing.T) {
	tests := map[string]struct {
		keys Keys
		hot  bool
	}{
		"uniform":   {keys: Keys{Count: 50}},
		"zipf":      {keys: Keys{Distribution: DistributionZipf, Count: 50}, hot: true},
		"hot":       {keys: Keys{Distribution: DistributionHot, Count: 50}, hot: true},
		"hot moves": {keys: Keys{Distribution: DistributionHot, Count: 50, HotEvery: 100 * time.Millisecond}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			plan := testPlan()
			plan.Count, plan.Keys, plan.Rate = 2000, tc.keys, 1000
			plan, err := plan.complete()
			is.NoErr(err)
			counts := map[uint16]int{}
			first, second := newSequence(plan, "t"), newSequence(plan, "t")
			for {
				r, ok := first.next()
				again, _ := second.next()
				is.Equal(r, again) // the same seed, the same requests
				if !ok {
					break
				}
				counts[r.key]++
			}
			most := uint16(0)
			for key, n := range counts {
				if n > counts[most] {
					most = key
				}
			}
			if tc.hot {
				is.Equal(most, uint16(0))
				return
			}
			is.True(counts[most] < 200)
		})
	}
}
