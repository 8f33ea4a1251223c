package controller

import (
	"time"

	"github.com/wasabibank/wasabibank/internal/commander"
	"github.com/wasabibank/wasabibank/internal/reducer"
	"github.com/wasabibank/wasabibank/internal/tracer"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// Event is something that happened; Step decides what follows from it.
type Event interface {
	event()
}

// Tick says only that time has passed.
type Tick struct{}

// LogRead is the answer to a ReadLog that began at Start. Next is the offset after the log's newest record.
type LogRead struct {
	Start   time.Time
	Entries []reducer.Entry
	Next    identifier.Offset
}

// LogExpired says that the log no longer retains the records that ReadLog asked for.
type LogExpired struct {
	FirstRetained identifier.Offset
}

// LogUnavailable says that a ReadLog got no answer.
type LogUnavailable struct{}

// PeerAnswered is the answer to an ExchangePeer sent at SentAt.
type PeerAnswered struct {
	Peer   identifier.InstanceID
	SentAt time.Time
	Reply  ExchangeReply
}

// PeerSilent says that an ExchangePeer got no answer.
type PeerSilent struct {
	Peer identifier.InstanceID
}

// GrantAnswered is the answer to a SendGrant.
type GrantAnswered struct {
	Server identifier.ServerName
	Term   identifier.Term
	Answer commander.GrantAnswer
}

// GrantFailed says that a SendGrant got no answer; it may have taken effect.
type GrantFailed struct {
	Server identifier.ServerName
	Term   identifier.Term
}

// RevokeAnswered is the answer to a SendRevoke of Partitions.
type RevokeAnswered struct {
	Server     identifier.ServerName
	Term       identifier.Term
	Partitions []identifier.PartitionID
	Accepted   bool
}

// InstancesListed is the platform's word on which instances, by name, are leaving. It lags: it moves fronts in good time
// and decides nothing else.
type InstancesListed struct {
	Leaving []string
}

// StopRequested asks the instance to hand over what it fronts and to leave.
type StopRequested struct{}

func (Tick) event()            {}
func (LogRead) event()         {}
func (LogExpired) event()      {}
func (LogUnavailable) event()  {}
func (PeerAnswered) event()    {}
func (PeerSilent) event()      {}
func (GrantAnswered) event()   {}
func (GrantFailed) event()     {}
func (RevokeAnswered) event()  {}
func (InstancesListed) event() {}
func (StopRequested) event()   {}

// Action is something for the shell to do.
type Action interface {
	action()
}

// ReadLog asks for one read of the log from From, after the delay After.
type ReadLog struct {
	From  identifier.Offset
	After time.Duration
}

// AppendLog asks for one append of Records. Its answer is not awaited: the records are read back.
type AppendLog struct {
	Records [][]byte
}

// ExchangePeer asks for one heartbeat to a peer.
type ExchangePeer struct {
	Peer    identifier.InstanceID
	Address string
	Request ExchangeRequest
	Timeout time.Duration
}

// SendGrant asks for one grant to a backend server.
type SendGrant struct {
	Server  identifier.ServerName
	Address string
	Grant   commander.Grant
	Timeout time.Duration
}

// SendRevoke asks for one revoke to a backend server.
type SendRevoke struct {
	Server  identifier.ServerName
	Address string
	Revoke  commander.Revoke
	Timeout time.Duration
}

// Note puts an event on the time line.
type Note struct {
	Kind    tracer.Kind
	Offset  identifier.Offset
	Subject string
	Detail  string
}

// Stopped says that the instance has left the roster after a StopRequested.
type Stopped struct{}

func (ReadLog) action()      {}
func (AppendLog) action()    {}
func (ExchangePeer) action() {}
func (SendGrant) action()    {}
func (SendRevoke) action()   {}
func (Note) action()         {}
func (Stopped) action()      {}

// ServerReport is what a fronting instance tells the others about a backend server.
type ServerReport struct {
	Server       identifier.ServerName
	Down         bool
	Slots        int
	Running      int
	Waiting      int
	ExpectedWait time.Duration
	Partitions   []PartitionLoad
}

// PartitionLoad is the measured load of one partition, in slots kept busy.
type PartitionLoad struct {
	Partition identifier.PartitionID
	Load      float64
}

// ExchangeRequest is a heartbeat to a peer.
type ExchangeRequest struct {
	Instance identifier.InstanceID
	Offset   identifier.Offset
	Hears    []identifier.InstanceID
	Reports  []ServerReport
}

// ExchangeReply is the answer to a heartbeat. Pledge is how long the answering instance promises to complete no
// handover past the asking one, from the sending of the request; 0 is no pledge, and then Refused says why.
type ExchangeReply struct {
	Instance identifier.InstanceID
	Offset   identifier.Offset
	Hears    []identifier.InstanceID
	Pledge   time.Duration
	Refused  string
	Entries  []reducer.Entry
}
