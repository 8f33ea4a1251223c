package controller

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/platform"
)

// TestEvacuationRecords guards against evacuations that are missed, forgotten while the store can't be read, or never end.
func TestEvacuationRecords(t *testing.T) {
	record := func(domain string, value ...byte) platform.Record {
		return platform.Record{Key: platform.EvacuationKey(domain), Value: value}
	}
	all := func(records ...platform.Record) topicRead { return topicRead{full: true, records: records} }
	change := func(records ...platform.Record) topicRead { return topicRead{records: records} }
	restored := func(records ...platform.Record) topicRead {
		return topicRead{full: true, restored: true, records: records}
	}
	for name, test := range map[string]struct {
		reads      []topicRead
		want       cataloger.State // of the server in domain a
		drains     bool            // before that
		begun, end int64
	}{
		"none":                         {reads: []topicRead{all(platform.Record{Key: platform.KeyConfig})}},
		"begun":                        {reads: []topicRead{all(), change(record("a", '{', '}'))}, want: cataloger.Gone, drains: true, begun: 1},
		"begun before the start":       {reads: []topicRead{all(record("a", 'x'))}, want: cataloger.Gone, begun: 1},
		"begun twice":                  {reads: []topicRead{all(record("a", 1)), change(record("a", 2))}, want: cataloger.Gone, begun: 1},
		"ended":                        {reads: []topicRead{all(record("a", 1)), change(record("a"))}, begun: 1, end: 1},
		"ended, and begun again":       {reads: []topicRead{all(record("a", 1)), change(record("a"), record("a", 1))}, want: cataloger.Gone, drains: true, begun: 2, end: 1},
		"ended while it was not read":  {reads: []topicRead{all(record("a", 1)), all()}, begun: 1, end: 1},
		"an older copy of the store":   {reads: []topicRead{all(record("a", 1)), restored()}, want: cataloger.Gone, begun: 1},
		"an older copy that has it":    {reads: []topicRead{all(), restored(record("a", 1))}, want: cataloger.Gone, begun: 1},
		"ended after the older copy":   {reads: []topicRead{all(record("a", 1)), restored(), change(record("a"))}, begun: 1, end: 1},
		"unknown domain":               {reads: []topicRead{all(record("z", 1))}, begun: 1},
		"no domain":                    {reads: []topicRead{all(record("", 1), record("a b", 1))}},
		"end of what was not begun":    {reads: []topicRead{all(record("a"))}},
		"a later change says nothing":  {reads: []topicRead{all(record("a", 1)), change(record("b"))}, want: cataloger.Gone, begun: 1},
		"both domains, one of them on": {reads: []topicRead{all(record("a", 1), record("b", 1)), change(record("b"))}, want: cataloger.Gone, begun: 2, end: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newTestController(t, http.NotFound)
			c.options.EvacuateTimeout = 5 * time.Second
			now := time.Unix(1000, 0)
			c.catalog.Put(now, time.Minute, cataloger.Server{ID: "1", Service: "desk", Address: "10.0.0.9:1", Domain: "a", Slots: 1})
			c.catalog.Put(now, time.Minute, cataloger.Server{ID: "2", Service: "desk", Address: "10.0.0.9:2", Domain: "b", Slots: 1})
			for _, read := range test.reads {
				c.applyEvacuations(now, read)
			}
			is.True(c.operatorsRead)
			first := test.want
			if test.drains {
				first = cataloger.Draining
			}
			is.Equal(c.servers()[0].State, first)
			c.evacuations.Expire(now.Add(5*time.Second - MaxConfigDelay))
			is.Equal(c.servers()[0].State, test.want)
			is.Equal(c.servers()[0].Evacuated, test.want == cataloger.Gone)
			is.Equal(c.servers()[1].State, cataloger.Ready)
			is.Equal(c.options.Meter.Get(meter.EvacuationsBegun), test.begun)
			is.Equal(c.options.Meter.Get(meter.EvacuationsEnded), test.end)
			is.Equal(len(c.evacuationStatus()), int(test.begun-test.end))
		})
	}
}

// TestLateEvacuationDrainsForLess guards against requests to an evacuated domain after the time that the rule allows, from an instance that
// could not read the record for a while.
func TestLateEvacuationDrainsForLess(t *testing.T) {
	tests := map[string]struct {
		missed time.Duration
		drains time.Duration // 0: the servers are gone at once
	}{
		"in time":         {drains: 2 * time.Second},
		"a failed read":   {missed: MaxConfigDelay, drains: 2 * time.Second},
		"a second late":   {missed: MaxConfigDelay + time.Second, drains: time.Second},
		"ten seconds":     {missed: 10 * time.Second},
		"late by a drain": {missed: MaxConfigDelay + 2*time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newTestController(t, http.NotFound)
			c.options.EvacuateTimeout = 5 * time.Second
			now := time.Unix(1000, 0)
			c.catalog.Put(now, time.Minute, cataloger.Server{ID: "1", Service: "desk", Address: "10.0.0.9:1", Domain: "a", Slots: 1})
			c.applyEvacuations(now, topicRead{full: true})
			c.applyEvacuations(now, topicRead{
				records: []platform.Record{{Key: platform.EvacuationKey("a"), Value: []byte{1}}}, missed: test.missed,
			})
			is.Equal(c.servers()[0].State == cataloger.Gone, test.drains == 0)
			c.evacuations.Expire(now.Add(test.drains - 1))
			is.Equal(c.servers()[0].State == cataloger.Gone, test.drains == 0)
			c.evacuations.Expire(now.Add(test.drains))
			is.Equal(c.servers()[0].State, cataloger.Gone)
		})
	}
}

// TestNothingIsSentBeforeEvacuationsAreRead guards against an instance that starts during an evacuation, and sends requests or orders
// to the domain because it has the configuration from the leader.
func TestNothingIsSentBeforeEvacuationsAreRead(t *testing.T) {
	is := is.New(t)
	c := newControllerWithServers(t, "10.0.0.9:1")
	c.options.EvacuateTimeout = 5 * time.Second
	c.view = nil
	c.updateView()
	is.True(!c.recordsRead())
	is.True(c.view == nil)
	c.applyEvacuations(time.Unix(1000, 0), topicRead{full: true})
	c.updateView()
	is.True(c.recordsRead())
	is.True(c.view != nil)
}
