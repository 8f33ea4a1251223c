// Package inspector is the read-only admin API of an entry instance: its JSON types, the handler that serves them, and
// the client that operators' commands use.
package inspector

// Status is the answer of GET /status: what one instance knows and does.
type Status struct {
	Instance string `json:"instance"`
	Domain   string `json:"failure_domain"`
	// Incarnation is the start of its process, in nanoseconds since 1970.
	Incarnation uint64 `json:"incarnation"`
	Ready       bool   `json:"ready"`
	// BundleVersion is that of the bundle in force; 0 is none.
	BundleVersion uint64 `json:"bundle_version"`
	// Leader is the newest leader that the instance knows of, and IsLeader says that it is the instance itself.
	Leader   Leader `json:"lead"`
	IsLeader bool   `json:"leads"`
	// StoreLost says that the platform's store has not answered the instance for a while.
	StoreLost     bool     `json:"store_lost"`
	OwnersVersion Version  `json:"owners"`
	Members       []Member `json:"members"`
	Servers       []Server `json:"servers"`
	// Running counts the requests that run at servers whose queues the instance keeps, Waiting those that wait for them.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// Leader names the instance that assigns keys; its term is 0 where none is known.
type Leader struct {
	Instance string `json:"instance"`
	Term     uint64 `json:"term"`
}

// Version orders the states of the map of owners.
type Version struct {
	Term     uint64 `json:"term"`
	Sequence uint64 `json:"sequence"`
}

// Member is an entry instance, the one that answers included.
type Member struct {
	Instance string `json:"instance"`
	Domain   string `json:"failure_domain"`
	Address  string `json:"address"`
	Leaving  bool   `json:"leaving"`
	Capacity int    `json:"capacity"`
}

// Server is a backend server.
type Server struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Domain  string `json:"failure_domain"`
	Address string `json:"address"`
	State   string `json:"state"`
	Slots   int    `json:"slots"`
	// Ranges and Keys count what the server owns; 0 at a service that is not keyed.
	Ranges int `json:"ranges"`
	Keys   int `json:"keys"`
	// Dispatcher is the instance that keeps the queue of a server that owns keys.
	Dispatcher string `json:"front"`
}

// OwnerAnswer is the answer of GET /owner: who owns a key, according to one instance.
type OwnerAnswer struct {
	Instance      string  `json:"instance"`
	OwnersVersion Version `json:"owners"`
	Service       string  `json:"service"`
	Key           uint16  `json:"key"`
	// Server is empty where no server ever owned the key.
	Server string `json:"server"`
	// Moving says that the key is between two owners.
	Moving     bool   `json:"moving"`
	Dispatcher string `json:"front"`
}

// ErrorAnswer is the answer to a question that can't be answered.
type ErrorAnswer struct {
	Message string `json:"message"`
}
