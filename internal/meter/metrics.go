package meter

// Counter identifies a counter of a Meter.
type Counter int

// Counters of requests. Each received request that has ended counts as one of answered, not run and unknown; a cancelled one
// counts as not run or unknown too.
const (
	RequestsReceived Counter = iota
	RequestsAnswered
	RequestsNotRun
	RequestsUnknown
	RequestsForwarded
	RequestsRepeated
	RequestsCancelled
	ServerPauses
	InvalidRetryAfters
	ServersLeaving
	ServerLimits
	InvalidServerLimits
	InvalidServerLoads
	ServerEjections
	InvalidAnswers
	ServersEnded
	RequestsDetoured
	PathProbes
	BodiesDropped
	ConnectionsRefused
	ConnectionsStalled
	RequestsHeld
	InvalidWarmups
	WarmupChecks
	ColdServersMet
	ColdRequestsHeld
)

// Counters of the control plane.
const (
	Appends Counter = iota + ColdRequestsHeld + 1
	AppendsFailed
	StoreReads
	StoreReadsFailed
	StoreGaps
	StoreRestores
	ReportsSent
	ReportsFailed
	LeadsTaken
	MovesStarted
	GrantsSent
	GrantsRefused
	GrantsFailed
	ReleasesSent
	HolderQuestions
	HoldersAlive
	HoldersOther
	HoldersUnknown
	HoldersEnded
	LeasesInherited
	InvalidLeases
	EvacuationsBegun
	EvacuationsEnded

	counterCount = int(EvacuationsEnded) + 1
)

// Gauge identifies a gauge of a Meter.
type Gauge int

// Gauges of the current state.
const (
	BundleVersion Gauge = iota
	Members
	RequestsRunning
	RequestsWaiting
	LogLinesDropped
	LimitedServers
	LoweredServers
	BarredRequests
	LostServers
	LostServices
	BodyBytes
	BodiesWaiting
	ColdServers
	EvacuatedDomains
	EvacuatedServers

	gaugeCount = int(EvacuatedServers) + 1
)

// Timer identifies a timer of a Meter.
type Timer int

// Timers of the control plane.
const (
	AppendTime Timer = iota
	ReportTime
	GrantTime

	timerCount = int(GrantTime) + 1
)

// Description is the name of a counter, gauge or timer on the metrics page with an explanation.
type Description struct {
	// Name is in snake case.
	Name string
	// Help explains the value to operators in one sentence.
	Help string
}

var counterDescriptions = [counterCount]Description{
	RequestsReceived:    {"requests_received", "Requests that clients sent to this instance."},
	RequestsAnswered:    {"requests_answered", "Requests answered with the backend server's complete answer."},
	RequestsNotRun:      {"requests_not_run", "Requests whose client was told that they were not executed."},
	RequestsUnknown:     {"requests_unknown", "Requests that may have been executed but got no valid server answer."},
	RequestsForwarded:   {"requests_forwarded", "Times that a request was forwarded to its dispatcher, another instance."},
	RequestsRepeated:    {"requests_repeated", "Retries sent to a backend server after an earlier attempt may have reached one."},
	RequestsCancelled:   {"requests_cancelled", "Requests whose client disconnected."},
	ServerPauses:        {"server_pauses", "Times that a backend server asked this instance for a pause, with 503 and Retry-After."},
	InvalidRetryAfters:  {"invalid_retry_afters", "Pauses asked for by a backend server that are not a number of seconds or too long."},
	ServersLeaving:      {"servers_leaving", "Backend servers that this instance has learned of, from an answer or another instance, as leaving."},
	ServerLimits:        {"server_limits", "Times that an answer to this instance named a new or changed limit of its backend server."},
	InvalidServerLimits: {"invalid_server_limits", "Limits named by a backend server that are not a number of requests a second."},
	InvalidServerLoads:  {"invalid_server_loads", "Loads named in an answer that are invalid or come from another backend server."},
	ServerEjections:     {"server_ejections", "Times that this instance ejected a backend server from its queue."},
	InvalidAnswers:      {"invalid_answers", "Answers of backend servers and instances whose first line is no valid status line of HTTP."},
	ServersEnded:        {"servers_ended", "Backend servers that ended while they executed requests that this instance had sent."},
	RequestsDetoured:    {"requests_detoured", "Times that a request was sent through another dispatcher because one had no path to its server."},
	PathProbes:          {"path_probes", "Connections that were opened to find out whether there is a path to a backend server."},
	BodiesDropped:       {"bodies_dropped", "Bodies and answers that were dropped because they made no progress while others needed their memory."},
	ConnectionsRefused:  {"connections_refused", "Connections closed to stay within the bounds of connections and of header bytes."},
	ConnectionsStalled:  {"connections_stalled", "Those of connections_refused whose clients did not continue within a request: its header, its body, or reading the answer."},
	RequestsHeld:        {"requests_held", "Requests that waited although a slot was free, because it was kept for requests of higher priority."},
	InvalidWarmups:      {"invalid_warmups", "Remaining warm-up times named by a backend server that are missing, not a time, or too long."},
	WarmupChecks:        {"warmup_checks", "Health checks sent to ask a backend server whether it is cold."},
	ColdServersMet:      {"cold_servers_met", "Times that a backend server turned cold, as far as this instance knows."},
	ColdRequestsHeld:    {"cold_requests_held", "Requests that waited again right before they were sent, because their server was cold."},
	Appends:             {"appends", "Append calls to the platform's store."},
	AppendsFailed:       {"appends_failed", "Append calls that were not acknowledged; they may have taken effect."},
	StoreReads:          {"store_reads", "Reads of the store's topics, directly or through another instance."},
	StoreReadsFailed:    {"store_reads_failed", "Reads of the store's topics that failed."},
	StoreGaps:           {"store_gaps", "Times that records of the store expired before this instance read them."},
	StoreRestores:       {"store_restores", "Times that the store came back from an older copy while this instance ran."},
	ReportsSent:         {"reports_sent", "Reports sent to the leader."},
	ReportsFailed:       {"reports_failed", "Reports that the leader did not answer."},
	LeadsTaken:          {"leads_taken", "Times that this instance became the leader."},
	MovesStarted:        {"moves_started", "Moves of key ranges that this instance chose as leader, started or not."},
	GrantsSent:          {"grants_sent", "Grants sent to backend servers, renewals included."},
	GrantsRefused:       {"grants_refused", "Grants that a backend server refused because it knew a higher fencing token."},
	GrantsFailed:        {"grants_failed", "Grants that were not accepted: refused, not answered or not sent."},
	ReleasesSent:        {"releases_sent", "Releases sent to backend servers."},
	HolderQuestions:     {"holder_questions", "Health checks that asked who holds the address of a backend server that fails."},
	HoldersAlive:        {"holders_alive", "Answers to such health checks by the failing backend server itself."},
	HoldersOther:        {"holders_other", "Answers to such health checks by another backend server that is registered there."},
	HoldersUnknown:      {"holders_unknown", "Such health checks without an answer, or answered in the name of no known backend server."},
	HoldersEnded:        {"holders_ended", "Backend servers whose keys were freed because another one holds their address."},
	LeasesInherited:     {"leases_inherited", "Key ranges for which the previous leader said until when its leases last."},
	InvalidLeases:       {"invalid_leases", "Answers of a previous leader whose leases are invalid; they were ignored."},
	EvacuationsBegun:    {"evacuations_begun", "Evacuations of a failure domain that began after this instance's start."},
	EvacuationsEnded:    {"evacuations_ended", "Evacuations of a failure domain that ended after this instance's start."},
}

var gaugeDescriptions = [gaugeCount]Description{
	BundleVersion:    {"bundle_version", "Version of the configuration that the instance applies; 0 means none."},
	Members:          {"members", "Entry instances that this instance knows, including itself."},
	RequestsRunning:  {"requests_running", "Requests that this instance, as dispatcher, has in progress at backend servers."},
	RequestsWaiting:  {"requests_waiting", "Requests that wait in the queues of this instance for a slot of a backend server."},
	LimitedServers:   {"limited_servers", "Backend servers that, as far as this instance knows, name a limit for their requests."},
	LoweredServers:   {"lowered_servers", "Backend servers that this instance sends fewer concurrent requests than they have slots, as learned."},
	BarredRequests:   {"barred_requests", "Requests that this instance refuses because servers crash under them."},
	LostServers:      {"lost_servers", "Backend servers to which this instance has lost its path."},
	LostServices:     {"lost_services", "Services of whose backend servers this instance has lost more than it reaches."},
	BodyBytes:        {"body_bytes", "Bytes of memory held for the bodies of requests and answers."},
	BodiesWaiting:    {"bodies_waiting", "Bodies of requests, and answers, that wait for memory."},
	ColdServers:      {"cold_servers", "Backend servers that, as far as this instance knows, are cold."},
	EvacuatedDomains: {"evacuated_domains", "Failure domains that are evacuated, as far as this instance knows."},
	EvacuatedServers: {"evacuated_servers", "Backend servers in evacuated failure domains."},
	LogLinesDropped:  {"log_lines_dropped", "Log lines dropped because standard output was too slow; a failed write adds 1."},
}

var timerDescriptions = [timerCount]Description{
	AppendTime: {"append_time", "Duration of an append call to the platform's store."},
	ReportTime: {"report_time", "Time from sending a report until the leader answered it or it failed."},
	GrantTime:  {"grant_time", "Time from sending a grant until the backend server answered it or it failed."},
}

// String returns the counter's name on the metrics page.
func (c Counter) String() string { return counterDescriptions[c].Name }

// String returns the gauge's name on the metrics page.
func (g Gauge) String() string { return gaugeDescriptions[g].Name }

// String returns the timer's name on the metrics page.
func (t Timer) String() string { return timerDescriptions[t].Name }

// Descriptions returns every counter, gauge and timer in the order of the metrics page. The counts of refusals and of
// request durations have no Description.
func Descriptions() []Description {
	var all []Description
	all = append(all, counterDescriptions[:]...)
	all = append(all, gaugeDescriptions[:]...)
	return append(all, timerDescriptions[:]...)
}
