package cmd

// The explanations of the stand-ins: what they serve and which faults are switched at run time.
const (
	logExplanation = `Serves the platform's append-only log: POST /records, GET /records.
It prints "listening ADDRESS" and stops on SIGTERM.

POST /admin/faults changes the switches that its JSON names; GET shows all of them:
  outage        true: every request gets 503
  silent        true: requests get no answer until it is false again
  delay_ms      added before each answer, in milliseconds
  lose_replies  that many appends take effect and get no reply; -1 is all
  cut_callers   names of processes (as in the header Wasabibank-From) whose requests get no answer
POST /admin/expire {"first_retained": N} drops the records below offset N.
`

	rosterExplanation = `Serves the platform's instance list: GET /instances.
It prints "listening ADDRESS" and stops on SIGTERM.

POST /admin/instances, with the form that GET /instances answers, replaces what is true.
POST /admin/faults changes the switches that its JSON names; GET shows all of them:
  outage  true: every request gets 503
  frozen  true: the list stays as it was when this was switched on
  lag_ms  added to the lag, in milliseconds
  hidden  names of instances that are left out
`

	serverExplanation = `Serves as a backend server: requests, grants and the other commands, /health and /load.
It prints "listening ADDRESS" and stops on SIGTERM.

GET /admin/executions?from=N lists executions, GET /admin/counts counts effects and refusals.
POST /admin/faults changes the switches that its JSON names; GET shows all of them:
  frozen                true: nothing executes or answers; false: all goes on as if nothing had happened
  unchecked_fence       true: requests are executed whatever term, epoch and grant they carry
  unchecked_control     true: grants, revokes, drains and cancels of any sender are obeyed
  nonceless             true: no nonces; the time to live of a grant counts from its receipt
  shed                  true: every new request is refused
  slow_factor           multiplies service times
  health                "healthy" or "sick" whatever is true; "" is the truth
  load                  {"running": R, "queued": Q} whatever is true; null is the truth
  lose_replies          that many requests take effect and get no reply; -1 is all
  cut_answers           that many answers break off in the middle; -1 is all
  lose_control_replies  that many commands take effect and get no reply; -1 is all
  chunked               true: answers have no Content-Length
  refuse_connections    true: new connections are closed at once
`

	collectorExplanation = `Keeps the executions that stand-in servers post (server -collect ADDRESS), so that those of a
server that is killed still count. GET /admin/executions?from=N lists them.
It prints "listening ADDRESS" and stops on SIGTERM.
`
)
