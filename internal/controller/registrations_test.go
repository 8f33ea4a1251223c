package controller

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/platform"
)

// TestOddRegistrationKeepsTheServerThatWasThere guards against a sound server that loses its keys because another writer has left an
// entry under its id that can't be used: it stays, also when all registrations are read anew, until its record is removed.
func TestOddRegistrationKeepsTheServerThatWasThere(t *testing.T) {
	server := cataloger.Server{ID: "a", Service: "desk", Address: "10.0.0.9:1", Domain: "d", Slots: 1}
	valid, err := platform.EncodeServer(server)
	is.New(t).NoErr(err)
	record := func(value []byte) platform.Record { return platform.Record{Key: "a", Value: value} }
	tests := map[string]struct {
		later topicRead
		want  []cataloger.Server
	}{
		"change":             {later: topicRead{records: []platform.Record{record([]byte("{}"))}}, want: []cataloger.Server{server}},
		"all records":        {later: topicRead{records: []platform.Record{record([]byte("\xff"))}, full: true}, want: []cataloger.Server{server}},
		"removed":            {later: topicRead{records: []platform.Record{record(nil)}}, want: []cataloger.Server{}},
		"gone from them all": {later: topicRead{full: true}, want: []cataloger.Server{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			c := newTestController(t, http.NotFound)
			c.applyServers(now, topicRead{records: []platform.Record{record(valid)}, full: true})
			is.Equal(c.catalog.Servers(), []cataloger.Server{server})
			c.applyServers(now.Add(time.Second), test.later)
			is.Equal(c.catalog.Servers(), test.want)
		})
	}
}
