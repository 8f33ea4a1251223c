package meter

// reasonOther is the name under which unlisted reasons are counted; it has index 0 in every list.
const reasonOther = "other"

// refusalReasons are the reasons of answers that the router itself makes.
var refusalReasons = [...]string{
	reasonOther,
	"bad_path", "bad_key", "bad_timeout", "bad_header", "bad_body", "body_too_large",
	"no_such_service", "method_not_allowed", "no_route", "moved", "draining", "unreachable",
	"server_refused", "expired", "overloaded", "queue_full", "caller_rate", "caller_concurrent",
	"broken", "timeout", "repeat",
	"no_configuration", "no_service", "bad_time_left", "no_server", "owner_lost", "keys_moving", "keys_moved",
	"keys_not_here", "no_turn_in_time", "time_up_in_queue", "time_up", "client_left", "server_gone", "no_connection",
	"no_front", "not_sent", "not_sent_to_front", "server_rejected", "front_has_no_configuration",
}

// serverReasons are the reasons for which backend servers refuse requests.
var serverReasons = [...]string{
	reasonOther,
	"stale_term", "stale_epoch", "no_grant", "draining", "shed", "expired", "cancelled",
}

// recordReasons are the reasons for which the fold refuses records.
var recordReasons = [...]string{
	reasonOther,
	"malformed", "not_member", "expelled", "repeat", "stale", "unknown_subject", "not_front", "held",
	"not_witness", "bad_bundle", "bad_signature", "not_successor",
}

const (
	refusalCount       = len(refusalReasons)
	serverRefusalCount = len(serverReasons)
	recordRefusalCount = len(recordReasons)
)

var (
	refusalIndexes       = indexOf(refusalReasons[:])
	serverRefusalIndexes = indexOf(serverReasons[:])
	recordRefusalIndexes = indexOf(recordReasons[:])
)

func indexOf(names []string) map[string]int {
	indexes := make(map[string]int, len(names))
	for i, name := range names {
		indexes[name] = i
	}
	return indexes
}

// Refusals returns the reasons that CountRefusal tells apart.
func Refusals() []string { return refusalReasons[:] }

// ServerRefusals returns the reasons that CountServerRefusal tells apart.
func ServerRefusals() []string { return serverReasons[:] }

// RecordRefusals returns the reasons that CountRecordRefusal tells apart.
func RecordRefusals() []string { return recordReasons[:] }
