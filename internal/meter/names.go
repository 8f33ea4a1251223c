package meter

// Counter names one counter of a Meter.
type Counter int

// The counters of requests.
const (
	RequestsReceived Counter = iota
	RequestsAnswered
	RequestsNotRun
	RequestsUnknown
	RequestsForwarded
	RequestsMoved
	RequestsRepeated
	RequestsCancelled
	RequestsRetried
	RequestsHedged
	AnswersCut
)

// The counters of control work.
const (
	RecordsFolded Counter = iota + AnswersCut + 1
	RecordsAccepted
	RecordsRefused
	RecordsRelayed
	Appends
	AppendsFailed
	RecordsAppended
	LogReads
	LogReadsFailed
	LogGaps
	ExchangesSent
	ExchangesFailed
	ExchangesAnswered
	PledgesGot
	PledgesGiven
	PledgesRefused
	LeaseLapses
	BundlesAccepted
	BundlesRefused
	InstancesJoined
	InstancesLeft
	Expulsions
	FrontsTaken
	FrontsHanded
	MovesStarted
	MovesDone
	KeysPinned
	KeysUnpinned
	GrantsSent
	GrantsRefused
	GrantsFailed
	RevokesSent
	RevokesFailed
	DrainsSent
	CancelsSent
	ServersSuspected
	ServersNotChecking
	SnapshotsWritten
	SnapshotsLoaded
	EventsOverwritten

	counterCount = int(EventsOverwritten) + 1
)

// Gauge names one gauge of a Meter.
type Gauge int

// The gauges.
const (
	LogOffset Gauge = iota
	BundleVersion
	RosterSize
	LeaseLeftMs
	FrontedServers
	OwnedPartitions
	RequestsRunning
	RequestsWaiting

	gaugeCount = int(RequestsWaiting) + 1
)

// Timer names one timer of a Meter.
type Timer int

// The timers.
const (
	AppendTime Timer = iota
	LogReadTime
	ExchangeTime
	GrantTime
	FoldTime
	ControlStepTime
	BundleInForceTime
	MoveTime

	timerCount = int(MoveTime) + 1
)

// Description is the name of a counter, gauge or timer on the metrics page, and what it counts.
type Description struct {
	// Name is in snake case.
	Name string
	// Help is one sentence for operators.
	Help string
}

var counterDescriptions = [counterCount]Description{
	RequestsReceived:   {"requests_received", "Requests that callers sent to this instance."},
	RequestsAnswered:   {"requests_answered", "Requests whose caller got the backend server's whole answer."},
	RequestsNotRun:     {"requests_not_run", "Requests whose caller was told that they were not run."},
	RequestsUnknown:    {"requests_unknown", "Requests that may have run and whose answer was lost."},
	RequestsForwarded:  {"requests_forwarded", "Requests passed on to the fronting instance of their backend server."},
	RequestsMoved:      {"requests_moved", "Forwarded requests that came back unsent because the front or the owner had changed."},
	RequestsRepeated:   {"requests_repeated", "Requests with an id that this instance had seen before."},
	RequestsCancelled:  {"requests_cancelled", "Requests whose caller went away before the answer."},
	RequestsRetried:    {"requests_retried", "Further attempts at requests that may be repeated or were certainly not run."},
	RequestsHedged:     {"requests_hedged", "Second attempts at idempotent requests while the first one still ran."},
	AnswersCut:         {"answers_cut", "Answers that broke off and were passed on as visibly broken."},
	RecordsFolded:      {"records_folded", "Records of the log that this instance has folded."},
	RecordsAccepted:    {"records_accepted", "Folded records that were accepted."},
	RecordsRefused:     {"records_refused", "Folded records that were refused; record_refusals tells why."},
	RecordsRelayed:     {"records_relayed", "Records of the log that came from a peer."},
	Appends:            {"appends", "Append calls to the log."},
	AppendsFailed:      {"appends_failed", "Append calls that gave no offset; they may have taken effect."},
	RecordsAppended:    {"records_appended", "Records in append calls."},
	LogReads:           {"log_reads", "Read calls to the log."},
	LogReadsFailed:     {"log_reads_failed", "Read calls to the log that failed."},
	LogGaps:            {"log_gaps", "Times that records had expired before this instance read them."},
	ExchangesSent:      {"exchanges_sent", "Heartbeats sent to peers."},
	ExchangesFailed:    {"exchanges_failed", "Heartbeats to peers that got no answer."},
	ExchangesAnswered:  {"exchanges_answered", "Heartbeats of peers that were answered."},
	PledgesGot:         {"pledges_got", "Pledges that peers gave to this instance."},
	PledgesGiven:       {"pledges_given", "Pledges that this instance gave to peers."},
	PledgesRefused:     {"pledges_refused", "Pledges that this instance refused to peers."},
	LeaseLapses:        {"lease_lapses", "Times that this instance lost its lease and stopped sending to backend servers."},
	BundlesAccepted:    {"bundles_accepted", "Bundles that came into force."},
	BundlesRefused:     {"bundles_refused", "Published bundles that the fold refused."},
	InstancesJoined:    {"instances_joined", "Instances that joined the roster."},
	InstancesLeft:      {"instances_left", "Instances that left the roster by themselves."},
	Expulsions:         {"expulsions", "Instances that were expelled from the roster."},
	FrontsTaken:        {"fronts_taken", "Backend servers whose front this instance took over."},
	FrontsHanded:       {"fronts_handed", "Backend servers whose front this instance handed on."},
	MovesStarted:       {"moves_started", "Moves of partitions that this instance started."},
	MovesDone:          {"moves_done", "Moves of partitions that this instance finished by a record."},
	KeysPinned:         {"keys_pinned", "Keys that got a partition of their own."},
	KeysUnpinned:       {"keys_unpinned", "Keys that went back to their common partition."},
	GrantsSent:         {"grants_sent", "Grants sent to backend servers."},
	GrantsRefused:      {"grants_refused", "Grants that a backend server refused."},
	GrantsFailed:       {"grants_failed", "Grants that got no answer."},
	RevokesSent:        {"revokes_sent", "Revocations sent to backend servers."},
	RevokesFailed:      {"revokes_failed", "Revocations that got no answer or were refused."},
	DrainsSent:         {"drains_sent", "Drain orders sent to backend servers."},
	CancelsSent:        {"cancels_sent", "Cancellations sent to backend servers."},
	ServersSuspected:   {"servers_suspected", "Times that this instance took a backend server for lost."},
	ServersNotChecking: {"servers_not_checking", "Backend servers found not to check who orders them."},
	SnapshotsWritten:   {"snapshots_written", "Snapshots of the folded state that this instance appended."},
	SnapshotsLoaded:    {"snapshots_loaded", "Snapshots of the folded state that this instance started from."},
	EventsOverwritten:  {"events_overwritten", "Events that fell out of the time line's ring."},
}

var gaugeDescriptions = [gaugeCount]Description{
	LogOffset:       {"log_offset", "Offset after the newest folded record."},
	BundleVersion:   {"bundle_version", "Version of the bundle in force; 0 is none."},
	RosterSize:      {"roster_size", "Instances on the roster."},
	LeaseLeftMs:     {"lease_left_ms", "Milliseconds left of this instance's lease; 0 when it has none."},
	FrontedServers:  {"fronted_servers", "Backend servers that this instance fronts."},
	OwnedPartitions: {"owned_partitions", "Partitions owned by the backend servers that this instance fronts."},
	RequestsRunning: {"requests_running", "Requests sent to backend servers and not yet answered."},
	RequestsWaiting: {"requests_waiting", "Requests that wait for a slot of a backend server."},
}

var timerDescriptions = [timerCount]Description{
	AppendTime:        {"append_time", "Time of an append call."},
	LogReadTime:       {"log_read_time", "Time of a read call to the log, without the wait for new records."},
	ExchangeTime:      {"exchange_time", "Time of an answered heartbeat."},
	GrantTime:         {"grant_time", "Time of an answered grant."},
	FoldTime:          {"fold_time", "Time to fold the records of one read."},
	ControlStepTime:   {"control_step_time", "Time of one step of the control thread."},
	BundleInForceTime: {"bundle_in_force_time", "Time from the append of a bundle, by its author's clock, to its use here."},
	MoveTime:          {"move_time", "Time from the start of a partition's move to its record."},
}

// String returns the counter's name on the metrics page.
func (c Counter) String() string { return counterDescriptions[c].Name }

// String returns the gauge's name on the metrics page.
func (g Gauge) String() string { return gaugeDescriptions[g].Name }

// String returns the timer's name on the metrics page.
func (t Timer) String() string { return timerDescriptions[t].Name }

// Descriptions returns every counter, gauge and timer in the order of the metrics page.
func Descriptions() []Description {
	var all []Description
	all = append(all, counterDescriptions[:]...)
	all = append(all, gaugeDescriptions[:]...)
	return append(all, timerDescriptions[:]...)
}
