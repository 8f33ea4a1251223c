package tracer

// Kind tells what happened in an event, in snake case.
type Kind string

// The kinds of membership.
const (
	KindInstanceStarted  Kind = "instance_started"
	KindInstanceStopping Kind = "instance_stopping"
	KindInstanceStopped  Kind = "instance_stopped"
	KindInstanceJoined   Kind = "instance_joined"
	KindInstanceLeft     Kind = "instance_left"
	KindInstanceExpelled Kind = "instance_expelled"
	KindPeerSilent       Kind = "peer_silent"
	KindWitnessesSet     Kind = "witnesses_set"
	KindPauseNoticed     Kind = "pause_noticed"
)

// The kinds of an instance's right to act.
const (
	KindLeaseGained    Kind = "lease_gained"
	KindLeaseLapsed    Kind = "lease_lapsed"
	KindPledgeReleased Kind = "pledge_released"
)

// The kinds of the platform's log.
const (
	KindLogLost         Kind = "log_lost"
	KindLogBack         Kind = "log_back"
	KindLogGap          Kind = "log_gap"
	KindRecordRefused   Kind = "record_refused"
	KindSnapshotWritten Kind = "snapshot_written"
	KindSnapshotLoaded  Kind = "snapshot_loaded"
)

// The kinds of bundles.
const (
	KindBundleAccepted Kind = "bundle_accepted"
	KindBundleRefused  Kind = "bundle_refused"
)

// The kinds of ownership.
const (
	KindFrontTaken         Kind = "front_taken"
	KindFrontHanded        Kind = "front_handed"
	KindPartitionsAssigned Kind = "partitions_assigned"
	KindMoveStarted        Kind = "move_started"
	KindMoveDone           Kind = "move_done"
	KindKeyPinned          Kind = "key_pinned"
	KindKeyUnpinned        Kind = "key_unpinned"
)

// The kinds of backend servers.
const (
	KindServerMet       Kind = "server_met"
	KindServerSuspected Kind = "server_suspected"
	KindServerBack      Kind = "server_back"
	KindGrantAccepted   Kind = "grant_accepted"
)

// The kinds of requests; only what should be rare is an event.
const (
	KindRequestUnknown Kind = "request_unknown"
	KindAnswerCut      Kind = "answer_cut"
)

// Group is a family of kinds that a page draws alike.
type Group string

// The groups.
const (
	GroupMembership Group = "membership"
	GroupLease      Group = "lease"
	GroupLog        Group = "log"
	GroupBundle     Group = "bundle"
	GroupOwnership  Group = "ownership"
	GroupServer     Group = "server"
	GroupRequest    Group = "request"
	GroupOther      Group = "other"
)

// KindDescription explains a kind to operators.
type KindDescription struct {
	Kind  Kind
	Group Group
	// OfRecord says that the event is the fold of one record of the log, which each instance notes for itself.
	OfRecord bool
	// Help is one sentence.
	Help string
}

var kindDescriptions = []KindDescription{
	{KindInstanceStarted, GroupMembership, false, "The process started and has a new instance id."},
	{KindInstanceStopping, GroupMembership, false, "A planned stop began; the instance takes no new requests and hands its fronts on."},
	{KindInstanceStopped, GroupMembership, false, "The planned stop is finished."},
	{KindInstanceJoined, GroupMembership, true, "An instance joined the roster by a record."},
	{KindInstanceLeft, GroupMembership, true, "An instance left the roster by its own record."},
	{KindInstanceExpelled, GroupMembership, true, "An instance was expelled by a record because it was no longer heard."},
	{KindPeerSilent, GroupMembership, false, "No heartbeat of the peer for longer than the bundle's timings allow."},
	{KindWitnessesSet, GroupMembership, true, "The witnesses of an instance changed by a record."},
	{KindPauseNoticed, GroupMembership, false, "The process itself stood still; the silence of others meanwhile does not count."},
	{KindLeaseGained, GroupLease, false, "The instance has read the log up to its tail and may act."},
	{KindLeaseLapsed, GroupLease, false, "The lease ran out; the instance sends nothing to backend servers."},
	{KindPledgeReleased, GroupLease, true, "By a record the pledges of a witness to an expelled instance have run out."},
	{KindLogLost, GroupLog, false, "The log can't be read."},
	{KindLogBack, GroupLog, false, "The log can be read again."},
	{KindLogGap, GroupLog, false, "Records had expired before they were read; the instance starts again from a snapshot."},
	{KindRecordRefused, GroupLog, true, "The fold refused a record; the detail says what it lost to."},
	{KindSnapshotWritten, GroupLog, true, "A snapshot of the folded state was appended."},
	{KindSnapshotLoaded, GroupLog, false, "The instance loaded the state from the log, from the newest snapshot on if there is one."},
	{KindBundleAccepted, GroupBundle, true, "The fold accepted a signed-off bundle."},
	{KindBundleRefused, GroupBundle, true, "The fold refused a bundle; the detail says why."},
	{KindFrontTaken, GroupOwnership, true, "By a record an instance fronts further backend servers."},
	{KindFrontHanded, GroupOwnership, true, "By a record an instance passed the front of a backend server on; it had stopped sending."},
	{KindPartitionsAssigned, GroupOwnership, true, "By a record partitions got their first owner."},
	{KindMoveStarted, GroupOwnership, false, "A move of partitions away from a backend server began."},
	{KindMoveDone, GroupOwnership, true, "The moved partitions have their new owner by a record."},
	{KindKeyPinned, GroupOwnership, true, "A hot key got a partition of its own."},
	{KindKeyUnpinned, GroupOwnership, true, "A key went back to its common partition."},
	{KindServerMet, GroupServer, true, "The log records whether a backend server checks its orders."},
	{KindServerSuspected, GroupServer, false, "A backend server is taken for lost."},
	{KindServerBack, GroupServer, false, "A backend server that was taken for lost answers again."},
	{KindGrantAccepted, GroupServer, false, "A backend server accepted its first grant of a term."},
	{KindRequestUnknown, GroupRequest, false, "A caller was told that its request may have run."},
	{KindAnswerCut, GroupRequest, false, "An answer broke off and was passed on as visibly broken."},
}

// Kinds returns every kind with its explanation.
func Kinds() []KindDescription { return kindDescriptions }

var descriptionsByKind = indexKinds()

func indexKinds() map[Kind]KindDescription {
	descriptions := make(map[Kind]KindDescription, len(kindDescriptions))
	for _, d := range kindDescriptions {
		descriptions[d.Kind] = d
	}
	return descriptions
}

// Group returns the group of k; GroupOther where k isn't one of this package's kinds.
func (k Kind) Group() Group {
	if d, ok := descriptionsByKind[k]; ok {
		return d.Group
	}
	return GroupOther
}

// OfRecord reports whether an event of kind k is the fold of one record, which each instance notes for itself.
func (k Kind) OfRecord() bool { return descriptionsByKind[k].OfRecord }
