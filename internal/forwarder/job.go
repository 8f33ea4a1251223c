package forwarder

import (
	"net/http"
	"strings"
	"time"

	"github.com/wasabibank/wasabibank/internal/partitioner"
	"github.com/wasabibank/wasabibank/internal/resolver"
)

// job is a request on its way to a backend server.
type job struct {
	id     string // the client's id of the request
	method string
	uri    string // as the client sent it
	host   string
	header http.Header // end-to-end headers
	body   []byte

	service    string
	route      string
	priority   int
	repeatable bool
	keyed      bool
	key        uint16
	objective  time.Time // when the answer is late
	limit      time.Time // when the answer is due

	pool     resolver.ServerPool
	owners   partitioner.Version // version of the map by which pool was chosen
	owner    string              // server that a front has named as the owner of the key, by the map of version owners
	avoid    string              // server that has failed this request
	arrivals int                 // times that it may have reached a server
	waits    time.Time           // since when it waits for keys that move; zero if it never did
	turn     uint64              // spreads requests over the pools of a service without keys
}

// outcome is what is known of a request that was given to a front.
type outcome int

const (
	answered  outcome = iota // a server answered
	rejected                 // it reached a server, which said that it did not run it
	refused                  // no server can run it in time; it was not sent
	moved                    // its keys are not at the server; it was not sent; server is the new owner, where known
	unreached                // no server could be connected to; it was not sent
	broken                   // it may have run, and there is no whole answer
	cut                      // it was not sent before its time was up or its client left
)

// String implements fmt.Stringer.
func (o outcome) String() string {
	return [...]string{"answered", "rejected", "refused", "moved", "unreached", "broken", "cut"}[o]
}

// result is an outcome and what belongs to it.
type result struct {
	outcome    outcome
	status     int
	header     http.Header
	body       []byte
	server     string
	sent       bool // it may have reached a server
	retryAfter time.Duration
	reason     string // for the log
	front      string
	owners     partitioner.Version // of the map by which server is the new owner
}

// after returns what is known of a request whose last arrival ended with r, where run is that of the last one that may have
// run, or nil: a request of which one arrival may have run must not be told not to have run.
func (r result) after(run *result) result {
	if run == nil || !r.notRun() {
		return r
	}
	known := *run
	known.reason = strings.TrimPrefix(known.reason+", then "+r.reason, ", ")
	return known
}

// notRun reports whether the request has surely not run.
func (r result) notRun() bool { return r.outcome != answered && r.outcome != broken }
