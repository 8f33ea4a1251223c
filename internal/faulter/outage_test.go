package faulter

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/leaser"
)

// outageCase is one length of a log outage with what is lost meanwhile.
type outageCase struct {
	length   time.Duration
	instance bool
	server   bool
}

// watchOutage returns the unserved time while the log is down and until shortly after.
func watchOutage(policy leaser.OutagePolicy, c outageCase) Gap {
	w := NewWorld(Setup{Seed: 1, Instances: 4, Servers: 6, Partitions: 24, Rate: 1, Policy: policy})
	w.Settle()
	w.Run(2 * time.Second)
	w.outage(c.length)
	w.after(c.length/4, func() {
		if c.instance {
			w.Kill(0)
		}
		if c.server {
			w.KillServer(w.names[2])
		}
	})
	return w.Watch(c.length+5*time.Second, 50*time.Millisecond)
}

func TestOutagePolicies(t *testing.T) {
	policies := map[string]leaser.OutagePolicy{
		"stop":     leaser.OutageStop,
		"all":      leaser.OutageAll,
		"majority": leaser.OutageMajority,
	}
	cases := map[string]outageCase{
		"1 s":                   {length: time.Second},
		"1 s, instance lost":    {length: time.Second, instance: true},
		"1 s, server lost":      {length: time.Second, server: true},
		"1 s, both lost":        {length: time.Second, instance: true, server: true},
		"10 s":                  {length: 10 * time.Second},
		"10 s, instance lost":   {length: 10 * time.Second, instance: true},
		"10 s, server lost":     {length: 10 * time.Second, server: true},
		"10 s, both lost":       {length: 10 * time.Second, instance: true, server: true},
		"10 min":                {length: 10 * time.Minute},
		"10 min, instance lost": {length: 10 * time.Minute, instance: true},
		"10 min, server lost":   {length: 10 * time.Minute, server: true},
		"10 min, both lost":     {length: 10 * time.Minute, instance: true, server: true},
	}
	for name, c := range cases {
		if stride > 1 && c.length > 10*time.Second {
			continue // part of the whole table, which runs without the race detector
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			means := map[string]time.Duration{}
			for policy, value := range policies {
				gap := watchOutage(value, c)
				means[policy] = gap.Mean
				t.Logf("%-24s %-9s unserved: mean %v, longest %v, open at the end %d", name, policy, gap.Mean, gap.Longest, gap.Open)
				is.Equal(gap.Open, 0)
			}
			is.True(means["majority"] <= means["all"])
			is.True(means["majority"] <= means["stop"])
		})
	}
}
