package cmd

// Descriptions of the stand-ins for their usage: what they serve and which faults can be injected at run time.
const (
	storeDescription = `Stands in for the platform's store: topics that keep the newest record of each key.
Prints "listening ADDRESS" and stops on SIGTERM.

POST /admin/faults sets the faults that its JSON names; GET returns all of them:
  outage        true: all requests get 503, also those of servers
  silent        true: requests get no answer until it is false again
  delay_ms      delay in milliseconds, before a call takes effect and again before its answer
  lose_answers  number of appends that take effect without an answer; -1 means all
POST /admin/forget drops the history of all topics; the newest record of each key stays.
`

	serverDescription = `Stands in for a backend server: answers requests, grants, releases and /health.
Prints "listening ADDRESS". On SIGTERM it announces that it is draining, keeps serving for -drain, and exits.

GET /admin/counts returns how many requests it executed and how many it rejected, and the most that
arrived in a second while it was cold.
POST /admin/faults sets the faults that its JSON names; GET returns all of them:
  shed                true: new requests are rejected as if the queue were full
  warmup_ms           makes it cold for that many milliseconds from now on; 0 ends a warm-up
  load                text that it names as its load in answers; empty means the true load, with -names-load
  slow_factor         multiplies service times; 0 means 1
  lying_health        true: answers to health checks are inverted
  fail_requests       number of requests that are executed and answered with 500; -1 means all
  lose_answers        number of requests that are executed and get no answer; -1 means all
  cut_answers         number of answers that break off in the middle; -1 means all
  garble_answers      number of answers that are replaced by other bytes; -1 means all
  extra_answers       number of answers that are sent twice; -1 means all
  late_orders         number of grants and releases that get no answer and are applied after late_ms; -1 means all
  late_ms             delay of these grants and releases, in milliseconds
  chunked             true: answers have no Content-Length
  refuse_connections  true: new connections are closed at once
`

	collectorDescription = `Keeps the executions that stand-in servers post (server -collect ADDRESS), so that those of a
killed server are still counted. GET /admin/executions?from=N lists them.
Prints "listening ADDRESS" and stops on SIGTERM.
`
)
