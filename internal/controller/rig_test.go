package controller

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/commander"
	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/internal/reducer"
	"github.com/wasabibank/wasabibank/internal/router"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// The names of the example bundle that the rig uses.
const (
	testService identifier.ServiceName = "render_desk"
	testServer  identifier.ServerName  = "render_01"

	examples = "../../docs/examples"
	tickTime = 20 * time.Millisecond
)

// rig is one controller, the log that it reads, and servers that accept each grant.
type rig struct {
	is      *is.I
	now     time.Time
	control *Controller
	table   *router.Table
	log     [][]byte
	serial  int
	// held keeps what the controller appends out of the log.
	held     bool
	withheld [][]byte
	logDown  bool
	silent   map[identifier.ServerName]bool
	// unchecking says that the servers turn nobody away.
	unchecking bool
	nonces     int
	// issued tells when each nonce was given.
	issued map[string]time.Time
	// peers answer heartbeats while their value is true.
	peers   map[identifier.InstanceID]bool
	grants  []SendGrant
	revokes int
	stopped bool
}

func newRig(t *testing.T) *rig {
	r := &rig{
		is:     is.New(t),
		now:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		table:  &router.Table{},
		silent: map[identifier.ServerName]bool{},
		peers:  map[identifier.InstanceID]bool{},
		issued: map[string]time.Time{},
	}
	r.append("operator", recorder.PublishBundle{Signed: r.signed()})
	r.control = New(Options{
		Run:         "self",
		Name:        "self",
		Domain:      "muscat_a",
		PeerAddress: "10.0.0.1:1",
		Genesis:     r.genesis(),
		Table:       r.table,
	})
	r.do(r.control.Start(r.now))
	return r
}

func (r *rig) key(name string) ed25519.PrivateKey {
	data, err := os.ReadFile(filepath.Join(examples, "keys", name+".key.pem"))
	r.is.NoErr(err)
	block, _ := pem.Decode(data)
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	r.is.NoErr(err)
	return parsed.(ed25519.PrivateKey)
}

func (r *rig) signed() bundler.Signed {
	raw, err := os.ReadFile(filepath.Join(examples, "local", "bundle.yaml"))
	r.is.NoErr(err)
	return bundler.Signed{Raw: raw, SignOffs: []bundler.SignOff{
		bundler.Sign(raw, "salma", r.key("salma")),
		bundler.Sign(raw, "yusuf", r.key("yusuf")),
	}}
}

func (r *rig) genesis() reducer.Genesis {
	var signers []bundler.Signer
	for _, name := range []string{"salma", "yusuf"} {
		signers = append(signers, bundler.NewSigner(name, r.key(name).Public().(ed25519.PublicKey)))
	}
	return reducer.Genesis{FirstSigners: signers}
}

// append puts a record of another author in the log.
func (r *rig) append(author identifier.InstanceID, record recorder.Record) {
	r.serial++
	id := identifier.RecordID("other/" + strconv.Itoa(r.serial))
	data, err := recorder.Encode(recorder.NewEnvelope(id, author, r.now, record))
	r.is.NoErr(err)
	r.log = append(r.log, data)
}

// join puts a peer on the roster that answers heartbeats.
func (r *rig) join(id identifier.InstanceID) {
	r.append(id, recorder.Join{Name: string(id), Domain: "muscat_b", PeerAddress: string(id)})
	r.peers[id] = true
}

func (r *rig) step(event Event) { r.do(r.control.Step(r.now, event)) }

// run lets d pass in ticks; the log is read after each.
func (r *rig) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(tickTime)
		r.step(Tick{})
		r.readLog()
	}
}

// runUntil runs until the state is reached; it fails after a minute of the rig's time.
func (r *rig) runUntil(reached func() bool) {
	for end := r.now.Add(time.Minute); !reached(); {
		r.is.True(r.now.Before(end)) // the state is not reached
		r.run(tickTime)
	}
}

func (r *rig) readLog() {
	if r.logDown {
		r.step(LogUnavailable{})
		return
	}
	var entries []reducer.Entry
	for i := int(r.control.readFrom()); i < len(r.log); i++ {
		entries = append(entries, reducer.Entry{Offset: identifier.Offset(i), Data: r.log[i]})
	}
	r.step(LogRead{Start: r.now, Entries: entries, Next: identifier.Offset(len(r.log))})
}

func (r *rig) do(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case AppendLog:
			r.take(a.Records)
		case ExchangePeer:
			r.exchange(a)
		case SendGrant:
			r.grants = append(r.grants, a)
			r.answerGrant(a)
		case SendRevoke:
			r.revokes++
			r.step(RevokeAnswered{Server: a.Server, Term: a.Revoke.Term, Partitions: a.Revoke.Partitions, Accepted: true})
		case Stopped:
			r.stopped = true
		}
	}
}

func (r *rig) take(records [][]byte) {
	if r.held {
		r.withheld = append(r.withheld, records...)
		return
	}
	r.log = append(r.log, records...)
}

func (r *rig) exchange(a ExchangePeer) {
	if !r.peers[a.Peer] {
		r.step(PeerSilent{Peer: a.Peer})
		return
	}
	reply := ExchangeReply{Instance: a.Peer, Hears: []identifier.InstanceID{a.Request.Instance}, Pledge: time.Second}
	r.step(PeerAnswered{Peer: a.Peer, SentAt: r.now, Reply: reply})
}

func (r *rig) answerGrant(a SendGrant) {
	if r.silent[a.Server] {
		r.step(GrantFailed{Server: a.Server, Term: a.Grant.Term})
		return
	}
	r.nonces++
	r.issued[strconv.Itoa(r.nonces)] = r.now
	answer := commander.GrantAnswer{
		Accepted: a.Grant.Echo != "",
		Checks:   !r.unchecking,
		Term:     a.Grant.Term,
		Nonce:    strconv.Itoa(r.nonces),
	}
	r.step(GrantAnswered{Server: a.Server, Term: a.Grant.Term, Answer: answer})
}

// appended returns the records of one type that the controller has tried to append.
func appended[T recorder.Record](r *rig) []T {
	var found []T
	for _, data := range append(append([][]byte{}, r.log...), r.withheld...) {
		envelope, err := recorder.Decode(data)
		r.is.NoErr(err)
		if record, ok := envelope.Record().(T); ok && envelope.Author() == r.control.ID() {
			found = append(found, record)
		}
	}
	return found
}

// owned returns the partitions of a server by the fold, in order.
func (r *rig) owned(server identifier.ServerName) []identifier.PartitionID {
	return r.control.ownedBy(server).sorted()
}

// enter tries to send a request of a partition to a server.
func (r *rig) enter(server identifier.ServerName, partition identifier.PartitionID) error {
	epoch := r.control.ownedBy(server)[partition]
	_, err := r.table.Gate(server).Enter(partition, epoch, r.now)
	if err == nil {
		r.table.Gate(server).Leave(partition)
	}
	return err
}

// serving returns a rig that fronts all servers, each with its grant.
func serving(t *testing.T) *rig {
	r := newRig(t)
	r.runUntil(func() bool {
		owned := r.owned(testServer)
		return len(owned) > 0 && r.enter(testServer, owned[0]) == nil
	})
	return r
}
