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
	RequestsRepeated
	RequestsCancelled
	AnswersCut
)

// The counters of control work.
const (
	RecordsFolded Counter = iota + AnswersCut + 1
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
	CancelsSent
	ServersSuspected
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
	LogLinesDropped

	gaugeCount = int(LogLinesDropped) + 1
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

	timerCount = int(ControlStepTime) + 1
)

// Description is the name of a counter, gauge or timer on the metrics page, and what it counts.
type Description struct {
	// Name is in snake case.
	Name string
	// Help is one sentence for operators.
	Help string
}

var counterDescriptions = [counterCount]Description{
	RequestsReceived:  {"requests_received", "Requests that callers sent to this instance."},
	RequestsAnswered:  {"requests_answered", "Requests whose caller got the backend server's whole answer."},
	RequestsNotRun:    {"requests_not_run", "Requests whose caller was told that they were not run."},
	RequestsUnknown:   {"requests_unknown", "Requests that may have run and whose answer was lost."},
	RequestsForwarded: {"requests_forwarded", "Requests passed on to the fronting instance of their backend server."},
	RequestsRepeated:  {"requests_repeated", "Requests that were answered as repeats of an earlier one."},
	RequestsCancelled: {"requests_cancelled", "Requests whose caller went away before the answer."},
	AnswersCut:        {"answers_cut", "Answers that broke off and were passed on as visibly broken."},
	RecordsFolded:     {"records_folded", "Records of the log that this instance has folded."},
	RecordsRefused:    {"records_refused", "Folded records other than bundles that were refused; record_refusals tells why."},
	RecordsRelayed:    {"records_relayed", "Records of the log that came from a peer."},
	Appends:           {"appends", "Append calls to the log."},
	AppendsFailed:     {"appends_failed", "Append calls that gave no offset; they may have taken effect."},
	RecordsAppended:   {"records_appended", "Records in append calls."},
	LogReads:          {"log_reads", "Read calls to the log."},
	LogReadsFailed:    {"log_reads_failed", "Read calls to the log that failed."},
	LogGaps:           {"log_gaps", "Times that records had expired before this instance read them."},
	ExchangesSent:     {"exchanges_sent", "Heartbeats sent to peers."},
	ExchangesFailed:   {"exchanges_failed", "Heartbeats to peers that got no answer."},
	ExchangesAnswered: {"exchanges_answered", "Heartbeats of peers that were answered."},
	PledgesGot:        {"pledges_got", "Heartbeats that a peer answered with a pledge."},
	PledgesGiven:      {"pledges_given", "Heartbeats of peers that were answered with a pledge."},
	PledgesRefused:    {"pledges_refused", "Heartbeats of peers that were answered without a pledge."},
	LeaseLapses:       {"lease_lapses", "Times that this instance lost its lease and stopped sending to backend servers."},
	BundlesAccepted:   {"bundles_accepted", "Bundles that came into force."},
	BundlesRefused:    {"bundles_refused", "Published bundles that the fold refused."},
	InstancesJoined:   {"instances_joined", "Instances that joined the roster."},
	InstancesLeft:     {"instances_left", "Instances that left the roster by themselves."},
	Expulsions:        {"expulsions", "Instances that were expelled from the roster."},
	FrontsTaken:       {"fronts_taken", "Records by which instances took fronts over, as folded here."},
	FrontsHanded:      {"fronts_handed", "Records by which instances passed fronts on, as folded here."},
	MovesStarted:      {"moves_started", "Times that this instance began to empty a backend server."},
	MovesDone:         {"moves_done", "Records that gave partitions to other servers, as folded here."},
	KeysPinned:        {"keys_pinned", "Records that gave a key a partition of its own, as folded here."},
	KeysUnpinned:      {"keys_unpinned", "Records that returned a key to its common partition, as folded here."},
	GrantsSent:        {"grants_sent", "Grants sent to backend servers."},
	GrantsRefused:     {"grants_refused", "Grants that a backend server did not accept; the first one of a term may only fetch a nonce."},
	GrantsFailed:      {"grants_failed", "Grants that got no answer."},
	RevokesSent:       {"revokes_sent", "Revocations sent to backend servers."},
	RevokesFailed:     {"revokes_failed", "Revocations that got no answer or were refused."},
	CancelsSent:       {"cancels_sent", "Cancellations sent to backend servers."},
	ServersSuspected:  {"servers_suspected", "Times that this instance took a backend server for lost."},
	SnapshotsWritten:  {"snapshots_written", "Parts of snapshots in the log, as folded here."},
	SnapshotsLoaded:   {"snapshots_loaded", "Times that this instance loaded the state from the log."},
	EventsOverwritten: {"events_overwritten", "Events that fell out of the time line's ring."},
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
	LogLinesDropped: {"log_lines_dropped", "Lines of the log that were dropped because its reader was too slow."},
}

var timerDescriptions = [timerCount]Description{
	AppendTime:      {"append_time", "Time of an append call."},
	LogReadTime:     {"log_read_time", "Time of a read call to the log, with its wait for new records."},
	ExchangeTime:    {"exchange_time", "Time of an answered heartbeat."},
	GrantTime:       {"grant_time", "Time of an answered grant."},
	FoldTime:        {"fold_time", "Time to fold the records of one read."},
	ControlStepTime: {"control_step_time", "Time of one step of the control thread."},
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
