// Package recorder holds the typed records of the platform's log and their codec.
package recorder

import (
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// Record is one of the record types of this file. A record names the state that it supposes;
// the fold refuses it when that state has changed.
type Record interface {
	kind() kind
}

// kind is the name of a record type in the log.
type kind string

const (
	kindPublishBundle kind = "publish_bundle"
	kindJoin          kind = "join"
	kindLeave         kind = "leave"
	kindExpel         kind = "expel"
	kindRelease       kind = "release"
	kindSetWitnesses  kind = "set_witnesses"
	kindClaimFronts   kind = "claim_fronts"
	kindHandFronts    kind = "hand_fronts"
	kindAssign        kind = "assign"
	kindReassign      kind = "reassign"
	kindMeetServer    kind = "meet_server"
	kindPin           kind = "pin"
	kindUnpin         kind = "unpin"
	kindSnapshot      kind = "snapshot"
)

// PublishBundle proposes a signed-off bundle; the bundle names its parent.
type PublishBundle struct {
	Signed bundler.Signed `json:"signed"`
}

// Join puts the author on the roster.
type Join struct {
	Name        string                `json:"name"`
	Domain      identifier.DomainName `json:"domain"`
	PeerAddress string                `json:"peer_address"`
}

// Leave takes the author off the roster. The author has stopped sending to every backend server.
type Leave struct{}

// Expel says that an instance is no longer heard. It may act until its lease has run out.
type Expel struct {
	Instance identifier.InstanceID `json:"instance"`
}

// Release says that the pledges of Witness to the expelled Instance have run out.
// The author is the witness itself, or any member once the witness is gone from the roster for a pledge's duration.
// Lapsed says instead that the longest time on pledges has passed since the expulsion; it needs no witness.
type Release struct {
	Instance identifier.InstanceID `json:"instance"`
	Witness  identifier.InstanceID `json:"witness,omitempty"`
	Lapsed   bool                  `json:"lapsed,omitempty"`
}

// SetWitnesses replaces the instances whose pledges the author counts.
type SetWitnesses struct {
	Version   uint64                  `json:"version"`
	Witnesses []identifier.InstanceID `json:"witnesses"`
}

// FrontClaim supposes that the front of Server is at Term and that its holder is gone.
type FrontClaim struct {
	Server identifier.ServerName `json:"server"`
	Term   identifier.Term       `json:"term"`
}

// ClaimFronts makes the author the fronting instance of the servers.
type ClaimFronts struct {
	Claims []FrontClaim `json:"claims"`
}

// FrontHand supposes that the author fronts Server at Term, and names the next holder.
type FrontHand struct {
	Server identifier.ServerName `json:"server"`
	Term   identifier.Term       `json:"term"`
	To     identifier.InstanceID `json:"to"`
}

// HandFronts passes fronts of the author on. The author has stopped sending to the servers.
type HandFronts struct {
	Hands []FrontHand `json:"hands"`
}

// PartitionMove supposes the partition at Epoch and names its next owner.
type PartitionMove struct {
	Index identifier.PartitionIndex `json:"index"`
	Epoch identifier.Epoch          `json:"epoch"`
	To    identifier.ServerName     `json:"to"`
}

// Assign gives partitions that no server owns their first owner.
type Assign struct {
	Service identifier.ServiceName `json:"service"`
	Moves   []PartitionMove        `json:"moves"`
}

// Reassign moves partitions away from server From, which the author fronts at Term.
// From can no longer execute requests for them.
type Reassign struct {
	Service identifier.ServiceName `json:"service"`
	From    identifier.ServerName  `json:"from"`
	Term    identifier.Term        `json:"term"`
	Moves   []PartitionMove        `json:"moves"`
}

// MeetServer records whether a backend server checks its orders, as the server itself said.
type MeetServer struct {
	Server  identifier.ServerName `json:"server"`
	Version uint64                `json:"version"`
	Checks  bool                  `json:"checks"`
}

// Pin gives Key a partition of its own, Index, on the server that owns the key's partition Base at Epoch.
// The author fronts that server at Term, and the service's pins are at Version.
type Pin struct {
	Service identifier.ServiceName    `json:"service"`
	Key     string                    `json:"key"`
	Base    identifier.PartitionIndex `json:"base"`
	Epoch   identifier.Epoch          `json:"epoch"`
	Term    identifier.Term           `json:"term"`
	Version uint64                    `json:"version"`
}

// Unpin returns Key to its partition Base; both are on the server that the author fronts at Term.
type Unpin struct {
	Service identifier.ServiceName    `json:"service"`
	Key     string                    `json:"key"`
	Base    identifier.PartitionIndex `json:"base"`
	Epoch   identifier.Epoch          `json:"epoch"`
	Term    identifier.Term           `json:"term"`
	Version uint64                    `json:"version"`
}

// Snapshot is one part of the folded state before the record at AsOf.
type Snapshot struct {
	AsOf  identifier.Offset `json:"as_of"`
	Part  int               `json:"part"`
	Parts int               `json:"parts"`
	Data  []byte            `json:"data"`
}

func (PublishBundle) kind() kind { return kindPublishBundle }
func (Join) kind() kind          { return kindJoin }
func (Leave) kind() kind         { return kindLeave }
func (Expel) kind() kind         { return kindExpel }
func (Release) kind() kind       { return kindRelease }
func (SetWitnesses) kind() kind  { return kindSetWitnesses }
func (ClaimFronts) kind() kind   { return kindClaimFronts }
func (HandFronts) kind() kind    { return kindHandFronts }
func (Assign) kind() kind        { return kindAssign }
func (Reassign) kind() kind      { return kindReassign }
func (MeetServer) kind() kind    { return kindMeetServer }
func (Pin) kind() kind           { return kindPin }
func (Unpin) kind() kind         { return kindUnpin }
func (Snapshot) kind() kind      { return kindSnapshot }

// KindOf returns the name of r's type, in snake case.
func KindOf(r Record) string { return string(r.kind()) }
