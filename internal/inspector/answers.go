package inspector

// Status is the answer to GET /status: the state of one instance and its view of the system.
type Status struct {
	// Instance is the name of the instance, Domain its failure domain.
	Instance string `json:"instance"`
	Domain   string `json:"failure_domain"`
	// Incarnation is the start of the instance's process as Unix time in nanoseconds.
	Incarnation uint64 `json:"incarnation"`
	// Ready says whether the instance can route requests: it has a view of the system and is not shutting down.
	Ready bool `json:"ready"`
	// BundleVersion is the version of the configuration that the instance applies; 0 means none.
	BundleVersion uint64 `json:"bundle_version"`
	// Leader is the most recent leader that the instance knows of. IsLeader says whether the instance itself is the leader.
	Leader   Leader `json:"lead"`
	IsLeader bool   `json:"leads"`
	// StoreUnreachable says that, for at least one of the platform's topics, the instance's last call to the store failed or
	// none was made yet. Reads through other instances do not count.
	StoreUnreachable bool `json:"store_lost"`
	// OwnerMapVersion is the version of the owner map that the instance uses.
	OwnerMapVersion Version  `json:"owners"`
	Members         []Member `json:"members"`
	Servers         []Server `json:"servers"`
	// Evacuated are the failure domains whose servers get no new requests.
	Evacuated []EvacuatedDomain `json:"evacuated"`
	// Barred are the requests that the instance refuses because servers crash under them.
	Barred []BarredRequest `json:"barred"`
	// Running counts the requests that are in progress at servers for which the instance is the dispatcher. Waiting counts the
	// requests that wait in the queues of these servers.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// Leader identifies the instance that grants key ranges to servers; Term is 0 if no leader is known.
type Leader struct {
	Instance string `json:"instance"`
	Term     uint64 `json:"term"`
}

// Version is a version of the owner map. Versions are ordered by Term, then by Sequence.
type Version struct {
	Term     uint64 `json:"term"`
	Sequence uint64 `json:"sequence"`
}

// Member is an entry instance. The list of a Status includes the instance that answers.
type Member struct {
	Instance string `json:"instance"`
	Domain   string `json:"failure_domain"`
	// Address is the host:port at which other instances reach the instance.
	Address string `json:"address"`
	// Leaving says that the instance is shutting down.
	Leaving bool `json:"leaving"`
	// Capacity is the capacity of the instance's machine, in thousandths of a core.
	Capacity int `json:"capacity"`
	// LostServices are the services of whose servers the instance has lost more than it reaches. Others dispatch in its place.
	LostServices []LostService `json:"lost_services"`
}

// LostService is a service that an instance has lost, LostSeconds ago by the clock of the instance that answers.
type LostService struct {
	Service     string  `json:"service"`
	LostSeconds float64 `json:"lost_s"`
}

// Server is a backend server.
type Server struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Domain  string `json:"failure_domain"`
	Address string `json:"address"`
	// State is "ready" or "draining".
	State string `json:"state"`
	// Slots is the number of concurrent requests that the server accepts.
	Slots int `json:"slots"`
	// Ranges and Keys count the key ranges and keys that the server owns, without ranges that are moving. Both are 0 for a
	// service that is not keyed.
	Ranges int `json:"ranges"`
	Keys   int `json:"keys"`
	// Dispatcher is the instance that keeps the server's queue; it is empty if the server owns no keys.
	Dispatcher string `json:"front"`
	// Unreachable says that the instance that answers has lost its path to the server.
	Unreachable bool `json:"unreachable"`
	// Limited says that the server names a limit: Limit requests a second from all instances together, and LimitedSeconds ago it
	// first named one.
	Limited        bool    `json:"limited"`
	Limit          float64 `json:"limit"`
	LimitedSeconds float64 `json:"limited_s"`
	// Evacuated says that the server's failure domain is evacuated, and ColdSeconds for how long it stays cold.
	Evacuated   bool    `json:"evacuated"`
	ColdSeconds float64 `json:"cold_s"`
}

// EvacuatedDomain is a failure domain that is evacuated.
type EvacuatedDomain struct {
	Domain string `json:"failure_domain"`
	// EvacuatedSeconds ago the instance read that it is evacuated.
	EvacuatedSeconds float64 `json:"evacuated_s"`
}

// BarredRequest is a request that is refused because servers crash under it.
type BarredRequest struct {
	// Fingerprint identifies the request in log lines, in hexadecimal.
	Fingerprint string `json:"fingerprint"`
	// Request is its method, host and path.
	Request string `json:"request"`
	// Crashes is the number of servers that have crashed under it, as far as is known, and BarredSeconds ago it was barred.
	Crashes       int     `json:"crashes"`
	BarredSeconds float64 `json:"barred_s"`
}

// OwnerAnswer is the answer to GET /owner: the owner of a key according to one instance.
type OwnerAnswer struct {
	// Instance is the instance that answers.
	Instance string `json:"instance"`
	// OwnerMapVersion is the version of the owner map that the answer is based on.
	OwnerMapVersion Version `json:"owners"`
	Service         string  `json:"service"`
	Key             uint16  `json:"key"`
	// Server is the ID of the owner; it is empty if no server has owned the key yet.
	Server string `json:"server"`
	// Moving says that the key is not served at present, because it moves to another server or has no owner yet.
	Moving bool `json:"moving"`
	// Dispatcher is the instance that keeps the queue of Server.
	Dispatcher string `json:"front"`
}

// ErrorAnswer is the answer to a request that failed.
type ErrorAnswer struct {
	Message string `json:"message"`
}
