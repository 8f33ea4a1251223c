// Package reducer folds the records of the platform's log into the state on which all instances agree:
// the bundle in force, the roster, the fronts of the backend servers and the owners of the partitions.
// The same records give the same state on every instance, byte for byte.
package reducer

import (
	"maps"
	"slices"
	"time"

	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// Genesis is what every instance must be told alike before it folds the first record.
type Genesis struct {
	// FirstSigners are the signers that must sign off bundle version 1.
	FirstSigners []bundler.Signer
}

// Provenance tells which record brought something about.
type Provenance struct {
	Offset identifier.Offset     `json:"offset"`
	Record identifier.RecordID   `json:"record"`
	Author identifier.InstanceID `json:"author"`
	WallMS int64                 `json:"wall_ms"`
}

// BundleChange is one bundle that came into force.
type BundleChange struct {
	Version    uint64     `json:"version"`
	Digest     string     `json:"digest"`
	Author     string     `json:"author"`
	Approver   string     `json:"approver"`
	Provenance Provenance `json:"provenance"`
}

// Member is one instance of the roster.
type Member struct {
	ID             identifier.InstanceID   `json:"id"`
	Name           string                  `json:"name"`
	Domain         identifier.DomainName   `json:"domain"`
	PeerAddress    string                  `json:"peer_address"`
	JoinedAt       identifier.Offset       `json:"joined_at"`
	Expelled       bool                    `json:"expelled"`
	ExpelledAt     identifier.Offset       `json:"expelled_at"`
	WitnessVersion uint64                  `json:"witness_version"`
	Witnesses      []identifier.InstanceID `json:"witnesses"`
	Releases       []identifier.InstanceID `json:"releases"`
}

// PledgesNeeded returns how many witnesses must pledge for the member to act while the log is down; 0 means that no
// number suffices.
func (m Member) PledgesNeeded() int {
	if len(m.Witnesses) == 0 {
		return 0
	}
	return len(m.Witnesses)/2 + 1
}

// ReleasesNeeded returns how many witnesses must have released the expelled member before it is gone.
// Any set of that size shares a witness with any set of PledgesNeeded.
func (m Member) ReleasesNeeded() int {
	if len(m.Witnesses) == 0 {
		return 1
	}
	return len(m.Witnesses) - m.PledgesNeeded() + 1
}

// FrontState says which instance sends to one backend server.
type FrontState struct {
	Holder identifier.InstanceID `json:"holder"`
	Term   identifier.Term       `json:"term"`
	// Unsettled lists earlier holders that are expelled and not yet gone.
	Unsettled []identifier.InstanceID `json:"unsettled"`
	// Clean says that the earlier holder had stopped sending by its own word before the present one took over.
	Clean      bool       `json:"clean"`
	Provenance Provenance `json:"provenance"`
}

// PartitionState is the owner of one partition.
type PartitionState struct {
	Owner      identifier.ServerName `json:"owner"`
	Epoch      identifier.Epoch      `json:"epoch"`
	Provenance Provenance            `json:"provenance"`
}

// PinState gives a key a partition of its own. A free pin has an empty key and its index can be used again.
type PinState struct {
	Key   string                    `json:"key"`
	Base  identifier.PartitionIndex `json:"base"`
	Index identifier.PartitionIndex `json:"index"`
}

// ServiceState holds the partitions of one keyed service: the bundle's first, then one for each pin.
type ServiceState struct {
	Base       int              `json:"base"`
	Partitions []PartitionState `json:"partitions"`
	Pins       []PinState       `json:"pins"`
	PinVersion uint64           `json:"pin_version"`
}

// ServerState is what is known for good about one backend server.
type ServerState struct {
	Service identifier.ServiceName `json:"service"`
	Address string                 `json:"address"`
	Front   FrontState             `json:"front"`
	Met     bool                   `json:"met"`
	Checks  bool                   `json:"checks"`
	Version uint64                 `json:"version"`
}

// SnapshotProgress counts the parts of a snapshot that one author has written so far, in order.
type SnapshotProgress struct {
	AsOf  identifier.Offset `json:"as_of"`
	Parts int               `json:"parts"`
	Got   int               `json:"got"`
}

// state is the serialised form of State. Maps marshal with sorted keys.
type state struct {
	Next          identifier.Offset                           `json:"next"`
	Signed        *bundler.Signed                             `json:"signed"`
	History       []BundleChange                              `json:"history"`
	RosterVersion uint64                                      `json:"roster_version"`
	Members       map[identifier.InstanceID]*Member           `json:"members"`
	Servers       map[identifier.ServerName]*ServerState      `json:"servers"`
	Services      map[identifier.ServiceName]*ServiceState    `json:"services"`
	SnapshotAt    identifier.Offset                           `json:"snapshot_at"`
	Snapshots     map[identifier.InstanceID]SnapshotProgress  `json:"snapshots"`
	Widest        Widest                                      `json:"widest"`
	Gone          map[identifier.InstanceID]identifier.Offset `json:"gone"`
}

// Widest holds the longest protocol times of any bundle that was ever in force. Waits use them, so that an instance
// that still acts under an older bundle is covered.
type Widest struct {
	RoutingLease time.Duration `json:"routing_lease_ns"`
	Pledge       time.Duration `json:"pledge_ns"`
	GrantTTL     time.Duration `json:"grant_ttl_ns"`
	PauseBound   time.Duration `json:"pause_bound_ns"`
	OutageLimit  time.Duration `json:"outage_limit_ns"`
	ClockDrift   float64       `json:"clock_drift"`
}

func (w *Widest) include(t bundler.Timings) {
	w.RoutingLease = max(w.RoutingLease, t.RoutingLease)
	w.Pledge = max(w.Pledge, t.Pledge)
	w.GrantTTL = max(w.GrantTTL, t.GrantTTL)
	w.PauseBound = max(w.PauseBound, t.PauseBound)
	w.OutageLimit = max(w.OutageLimit, t.OutageLimit)
	w.ClockDrift = max(w.ClockDrift, t.ClockDrift)
}

// State is the folded state. It is not safe for concurrent use.
type State struct {
	genesis Genesis
	s       state
	bundle  *bundler.Bundle
	sorted  sortedNames
}

// sortedNames keeps the sorted lists until the next record.
type sortedNames struct {
	members  []Member
	servers  []identifier.ServerName
	services []identifier.ServiceName
}

// NewState returns the state before the first record.
func NewState(genesis Genesis) *State {
	return &State{genesis: genesis, s: emptyState()}
}

func emptyState() state {
	return state{
		Members:   map[identifier.InstanceID]*Member{},
		Servers:   map[identifier.ServerName]*ServerState{},
		Services:  map[identifier.ServiceName]*ServiceState{},
		Gone:      map[identifier.InstanceID]identifier.Offset{},
		Snapshots: map[identifier.InstanceID]SnapshotProgress{},
	}
}

// Next returns the offset of the record that the state takes next.
func (st *State) Next() identifier.Offset { return st.s.Next }

// Bundle returns the bundle in force, or nil.
func (st *State) Bundle() *bundler.Bundle { return st.bundle }

// History returns the bundles that came into force, oldest first; only the newest are kept.
func (st *State) History() []BundleChange { return slices.Clone(st.s.History) }

// RosterVersion counts the changes of the roster.
func (st *State) RosterVersion() uint64 { return st.s.RosterVersion }

// SnapshotAt returns the offset that the newest whole snapshot stands for.
func (st *State) SnapshotAt() identifier.Offset { return st.s.SnapshotAt }

// Widest returns the longest protocol times ever in force.
func (st *State) Widest() Widest { return st.s.Widest }

// Members returns the roster in order of instance id, the expelled included. The caller must not change it.
func (st *State) Members() []Member {
	if st.sorted.members == nil {
		st.sorted.members = make([]Member, 0, len(st.s.Members))
		for _, id := range slices.Sorted(maps.Keys(st.s.Members)) {
			st.sorted.members = append(st.sorted.members, *st.s.Members[id])
		}
	}
	return st.sorted.members
}

// GetMemberByID returns one instance of the roster.
func (st *State) GetMemberByID(id identifier.InstanceID) (Member, bool) {
	m, ok := st.s.Members[id]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// GetGoneByID returns the offset at which an instance left the roster, while that is remembered.
func (st *State) GetGoneByID(id identifier.InstanceID) (identifier.Offset, bool) {
	at, ok := st.s.Gone[id]
	return at, ok
}

// GetServerByName returns what is known about a backend server.
func (st *State) GetServerByName(name identifier.ServerName) (ServerState, bool) {
	s, ok := st.s.Servers[name]
	if !ok {
		return ServerState{}, false
	}
	return *s, true
}

// ServerNames returns the backend servers ever declared, sorted. The caller must not change it.
func (st *State) ServerNames() []identifier.ServerName {
	if st.sorted.servers == nil {
		st.sorted.servers = slices.Sorted(maps.Keys(st.s.Servers))
	}
	return st.sorted.servers
}

// GetServiceByName returns the partitions of a keyed service. The caller must not change them.
func (st *State) GetServiceByName(name identifier.ServiceName) (ServiceState, bool) {
	s, ok := st.s.Services[name]
	if !ok {
		return ServiceState{}, false
	}
	return *s, true
}

// ServiceNames returns the keyed services ever declared, sorted. The caller must not change it.
func (st *State) ServiceNames() []identifier.ServiceName {
	if st.sorted.services == nil {
		st.sorted.services = slices.Sorted(maps.Keys(st.s.Services))
	}
	return st.sorted.services
}
