package presenter

import (
	"time"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// Readiness is the answer of GET /ready. Its HTTP status is 200 when ready and 503 otherwise.
type Readiness struct {
	Ready bool `json:"ready"`
	// Reason says why the instance isn't ready.
	Reason string `json:"reason,omitempty"`
}

// Provenance tells which record of the log brought something about.
type Provenance struct {
	Offset identifier.Offset     `json:"offset"`
	Record identifier.RecordID   `json:"record"`
	Author identifier.InstanceID `json:"author"`
	// Time is wall time of the author.
	Time time.Time `json:"time"`
}

// Status is the answer of GET /status: what one instance knows and does.
type Status struct {
	Instance identifier.InstanceID `json:"instance"`
	Name     string                `json:"name"`
	Domain   identifier.DomainName `json:"failure_domain"`
	// Offset is the offset after the newest folded record.
	Offset  identifier.Offset `json:"offset"`
	Ready   Readiness         `json:"readiness"`
	Lease   Lease             `json:"lease"`
	Bundle  Bundle            `json:"bundle"`
	Roster  []Member          `json:"roster"`
	Servers []Server          `json:"servers"`
}

// LeaseState says what an instance's right to act rests on.
type LeaseState string

// The states of a lease.
const (
	// LeaseByLog rests on having read the log up to its tail.
	LeaseByLog LeaseState = "by_log"
	// LeaseByPledges rests on pledges of a majority of the witnesses while the log can't be read.
	LeaseByPledges LeaseState = "by_pledges"
	// LeaseNone means that the instance sends nothing to backend servers.
	LeaseNone LeaseState = "none"
)

// Lease is an instance's right to act.
type Lease struct {
	State LeaseState `json:"state"`
	// LeftMS is the time left, in milliseconds.
	LeftMS int64 `json:"left_ms"`
}

// Bundle is the bundle in force; its version is 0 where there is none.
type Bundle struct {
	Version  uint64     `json:"version"`
	Digest   string     `json:"digest"`
	Author   string     `json:"author"`
	Approver string     `json:"approver"`
	Accepted Provenance `json:"accepted"`
}

// Member is one instance of the roster.
type Member struct {
	Instance    identifier.InstanceID `json:"instance"`
	Name        string                `json:"name"`
	Domain      identifier.DomainName `json:"failure_domain"`
	PeerAddress string                `json:"peer_address"`
	Expelled    bool                  `json:"expelled"`
	// HeardAgoMS is the time since the last heartbeat, in milliseconds; -1 is never, and 0 the instance itself.
	HeardAgoMS int64 `json:"heard_ago_ms"`
}

// Server is one backend server. Queue figures are known to its fronting instance only and are 0 elsewhere.
type Server struct {
	Name     identifier.ServerName    `json:"name"`
	Services []identifier.ServiceName `json:"services"`
	Domain   identifier.DomainName    `json:"failure_domain"`
	// Front is the instance that alone sends to the server, at Term.
	Front identifier.InstanceID `json:"front"`
	Term  identifier.Term       `json:"term"`
	// Partitions counts the partitions that the server owns.
	Partitions int `json:"partitions"`
	// Checks says whether the server checks who orders it.
	Checks bool `json:"checks"`
	// State is what this instance holds the server to be, in snake case.
	State string `json:"state"`
	Slots int    `json:"slots"`
	// Running counts requests sent and not yet answered, Waiting those that wait for a slot.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// ExpectedWaitMS is the expected wait of a new request, in milliseconds.
	ExpectedWaitMS int64 `json:"expected_wait_ms"`
}

// OwnerAnswer is the answer of GET /owner: who owns a key, since when and by which record.
type OwnerAnswer struct {
	// Instance is the instance that answers, and Offset the offset after its newest folded record.
	Instance  identifier.InstanceID  `json:"instance"`
	Offset    identifier.Offset      `json:"offset"`
	Service   identifier.ServiceName `json:"service"`
	Key       string                 `json:"key"`
	Partition identifier.PartitionID `json:"partition"`
	Pinned    bool                   `json:"pinned"`
	Server    identifier.ServerName  `json:"server"`
	Epoch     identifier.Epoch       `json:"epoch"`
	Since     Provenance             `json:"since"`
	Front     identifier.InstanceID  `json:"front"`
	Term      identifier.Term        `json:"term"`
	// FrontSince is the record by which Front took over.
	FrontSince Provenance `json:"front_since"`
}

// Failure is the answer to a question that can't be answered.
type Failure struct {
	// Reason is in snake case.
	Reason  string `json:"reason"`
	Message string `json:"message"`
}
