package meter

// reasonOther is the reason under which all unlisted reasons are counted. It must have index 0 in refusalReasons, which is
// the index that refusalIndex yields for an unlisted reason.
const reasonOther = "other"

// refusalReasons are the reasons of answers by which the entry instance itself says that a request was not executed. They
// are those that package forwarder logs, up to the colon that precedes details.
var refusalReasons = [...]string{
	reasonOther,
	"no_configuration", "no_route", "no_service", "no_server", "bad_time_left", "bad_key", "bad_body", "body_too_large",
	"header_too_large", "header_stalled", "body_stalled", "no_memory", "exceeds_memory",
	"owner_lost", "keys_moving", "keys_moved", "keys_not_here", "dispatcher_changed", "queue_full", "no_turn_in_time", "too_little_time",
	"time_up_in_queue",
	"time_up", "client_left", "server_gone", "server_rejected", "crashes_servers", "no_path", "no_free_connection", "no_connection", "not_sent", "no_front",
	"not_sent_to_front", "front_has_no_configuration",
}

const refusalCount = len(refusalReasons)

// refusalIndex maps each listed reason to its index in refusalReasons.
var refusalIndex = indexByName(refusalReasons[:])

func indexByName(names []string) map[string]int {
	indexes := make(map[string]int, len(names))
	for i, name := range names {
		indexes[name] = i
	}
	return indexes
}

// RefusalReasons returns the reasons that CountRefusal counts separately.
func RefusalReasons() []string { return refusalReasons[:] }
