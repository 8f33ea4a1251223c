package forwarder

import (
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"
	"unicode"

	"github.com/wasabibank/wasabibank/internal/exchanger"
	"github.com/wasabibank/wasabibank/internal/partitioner"
	"github.com/wasabibank/wasabibank/internal/quarantiner"
	"github.com/wasabibank/wasabibank/internal/resolver"
)

// clientRequest is a client's request while it is routed to a backend server.
type clientRequest struct {
	id     string // the client's id of the request, empty if it has none
	method string
	uri    string // as the client sent it
	host   string
	header http.Header // end-to-end headers
	body   payload
	memory *hold // of the body and of its answers; must be closed

	fingerprints quarantiner.Fingerprints // the same when the request comes again
	suspect      bool                     // a server may have crashed because of the request; set for the current attempt

	isHop      bool // another instance took it from the client
	service    string
	route      string
	priority   int
	idempotent bool
	keyed      bool
	key        uint16
	objective  time.Time // arrival at the entry instance plus the route's latency objective; an answer after it is late
	deadline   time.Time // by which a server must have answered

	pool             resolver.ServerPool // chosen for the current attempt
	ownerMapVersion  partitioner.Version // version of the owner map by which pool was chosen
	newOwner         string              // owner of the key that a dispatcher named, by the map of ownerMapVersion
	held             time.Duration       // in the present attempt, after it got a slot, because its server may be cold
	avoidServer      string              // server that failed or rejected this request, or could not be reached
	triedDispatchers []string            // instances that had no path to a server of pool
	withoutPath      []string            // the same for all pools, with repetitions; for the log
	failedConnects   int                 // how many of them tried in vain to connect to the server
	sends            int                 // how often it may have reached a server
	moveWaitStart    time.Time           // when it first waited for a moving key; zero if it never did
	rotation         uint64              // spreads requests over the server pools of a service without keys
}

// maxRequestNameBytes bounds the name of a request.
const maxRequestNameBytes = 256

// name returns the method, host and path of the request, for operators. The query is left out, as it may contain secrets. The name
// goes into messages between instances, which must be UTF-8.
func (req *clientRequest) name() string {
	path, _, _ := strings.Cut(req.uri, "?")
	name := req.method + " " + req.host + path
	return strings.ToValidUTF8(name[:min(len(name), maxRequestNameBytes)], string(unicode.ReplacementChar))
}

// setParts sets the parts of a client's request that are forwarded, without the body. The headers that clients send for servers stay even if
// the client names them in Connection: an answer without the request's id would count as a failure of its server.
func (req *clientRequest) setParts(r *http.Request, names HeaderNames) {
	req.method, req.uri, req.host, req.header = r.Method, r.RequestURI, r.Host, r.Header.Clone()
	exchanger.RemoveHopByHop(req.header)
	for _, name := range []string{names.RequestID, names.ShardKey} {
		if value := r.Header.Get(name); value != "" {
			req.header.Set(name, value)
		}
	}
	delete(req.header, "Content-Length")
}

// newHTTPRequest returns the HTTP request to address, with the method, URI, headers and body that the client sent.
func (req *clientRequest) newHTTPRequest(address string) *http.Request {
	httpReq := &http.Request{
		Method: req.method, Host: req.host, URL: &url.URL{Scheme: "http", Host: address, Opaque: req.uri},
		Header: req.header.Clone(), ContentLength: req.body.size,
	}
	if strings.HasPrefix(req.uri, "//") { // net/url would put the scheme before such an Opaque
		if parsed, err := url.ParseRequestURI(req.uri); err == nil {
			httpReq.URL = parsed
		}
	}
	if _, ok := httpReq.Header["User-Agent"]; !ok {
		httpReq.Header["User-Agent"] = []string{""} // or net/http sends its own
	}
	if req.body.size > 0 {
		httpReq.Body = io.NopCloser(req.body.reader())
	}
	return httpReq
}

// outcome is how an attempt to send a request ended. Its number is part of the protocol between instances.
type outcome int

const (
	answered  outcome = iota // a server answered
	rejected                 // a server answered that it did not execute the request
	refused                  // not sent: no server can answer it before its deadline
	moved                    // not sent: the pool's server does not own the key; result.server is the new owner, if known
	unreached                // not sent: no server or dispatcher could be reached
	broken                   // it may have been executed, but there is no valid answer
	abandoned                // not sent before its deadline passed or its client left; "cut" in the log
)

// String implements fmt.Stringer.
func (o outcome) String() string {
	return [...]string{"answered", "rejected", "refused", "moved", "unreached", "broken", "cut"}[o]
}

// Reasons of results on which decisions depend; all others are only logged and counted. In reasons and log keys, "front" is
// the dispatcher.
const (
	// reasonNoServer says that a service has no server pool, or a pool no server. In the first case prepareRetry tries no
	// other pool.
	reasonNoServer = "no_server"
	// reasonCold says that a request had a slot of a server that is cold, but could not be sent soon without sending it too many.
	reasonCold = "cold_server"
	// reasonEvacuated says that all servers of a service are in evacuated failure domains.
	reasonEvacuated = "evacuated"
	// reasonClientLeft says that the client left before the answer. releaseSlot then records at most a service time, and
	// countResult counts the request as cancelled.
	reasonClientLeft = "client_left"
	// reasonShuttingDown says that this instance exits before it could answer. releaseSlot then records nothing about the server.
	reasonShuttingDown = "shutting_down"
	// reasonFrontShuttingDown says that the dispatcher exits before it could answer.
	reasonFrontShuttingDown = "front_shutting_down"
	// reasonCrashesServers says that the request is barred, because servers that executed it have crashed.
	reasonCrashesServers = "crashes_servers"
	// reasonBodyStalled says that the body of a request did not arrive in time.
	reasonBodyStalled = "body_stalled"
	// ReasonHeaderTooLarge says that the header of a request is larger than the configuration allows.
	ReasonHeaderTooLarge = "header_too_large"
	// reasonServerEnded says that the server has ended while it executed the request.
	reasonServerEnded = "server_ended"
)

// result is the outcome of an attempt, with the server's answer or the reason why there is none.
type result struct {
	outcome         outcome
	status          int
	header          http.Header
	body            payload
	toHead          bool                // answer to a HEAD request, which has no body
	connectionLost  bool                // the server's side ended the connection before the answer was complete
	timedOut        bool                // the answer was not complete at the deadline
	lacksMemory     bool                // this instance has no memory for the answer
	server          string              // that was tried; if moved: the new owner, empty if unknown
	maybeSent       bool                // whether it may have reached a server
	retryAfter      time.Duration       // if rejected, how long the server wants no requests, or 0
	reason          string              // for the log and the metrics; a detail may follow after a colon
	dispatcher      string              // instance that dispatched the request, if it is another one
	ownerMapVersion partitioner.Version // if moved: of the owner map by which server is the new owner
}

// withEarlier returns the final result of a request whose last attempt ended with r. earlier is the result of the last
// attempt that may have executed the request, or nil. A client must not be told that its request was not executed if any
// attempt may have executed it; so earlier replaces an r that says so.
func (r result) withEarlier(earlier *result) result {
	if earlier == nil || !r.notExecuted() {
		return r
	}
	merged := *earlier
	merged.reason = strings.TrimPrefix(merged.reason+", then "+r.reason, ", ")
	return merged
}

// isBarred reports whether the request was refused because it crashes servers.
func (r result) isBarred() bool {
	return r.outcome == refused && strings.HasPrefix(r.reason, reasonCrashesServers)
}

// notExecuted reports whether the attempt certainly did not execute the request.
func (r result) notExecuted() bool { return r.outcome != answered && r.outcome != broken }
