package reducer

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// The subjects of drawn records; some of each are unknown.
var (
	drawnAuthors  = []identifier.InstanceID{"a", "b", "c", "d", "e", "f"}
	drawnServers  = []identifier.ServerName{"s1", "s2", "s3", "h1", "s9"}
	drawnServices = []identifier.ServiceName{desk, desk, desk, shelf, "none"}
	drawnKeys     = []string{"hot", "warm", ""}
)

// drawing draws records that fit a state more often than not.
type drawing struct {
	t  *rapid.T
	st *State
}

// author draws a member in good standing more often than any other.
func (d drawing) author() identifier.InstanceID {
	if active := d.st.activeExcept(""); len(active) > 0 && rapid.IntRange(0, 3).Draw(d.t, "member") > 0 {
		return rapid.SampledFrom(active).Draw(d.t, "author")
	}
	return rapid.SampledFrom(drawnAuthors).Draw(d.t, "author")
}

// newcomer draws an instance that was never on the roster, or any.
func (d drawing) newcomer() identifier.InstanceID {
	for _, id := range drawnAuthors {
		_, member := d.st.GetMemberByID(id)
		_, gone := d.st.GetGoneByID(id)
		if !member && !gone {
			return id
		}
	}
	return d.author()
}

func (d drawing) server() identifier.ServerName {
	return rapid.SampledFrom(drawnServers).Draw(d.t, "server")
}

// near draws the value itself, or one beside it.
func (d drawing) near(value uint64) uint64 {
	return value + rapid.SampledFrom([]uint64{0, 0, 0, 0, 1}).Draw(d.t, "near")
}

func (d drawing) term(server identifier.ServerName) identifier.Term {
	known, _ := d.st.GetServerByName(server)
	return identifier.Term(d.near(uint64(known.Front.Term)))
}

// front draws the holder of the server's front, or anybody.
func (d drawing) front(server identifier.ServerName) identifier.InstanceID {
	known, _ := d.st.GetServerByName(server)
	if known.Front.Holder != "" && rapid.IntRange(0, 4).Draw(d.t, "rightful") > 0 {
		return known.Front.Holder
	}
	return d.author()
}

func (d drawing) moves(service identifier.ServiceName, from identifier.ServerName) []recorder.PartitionMove {
	state, _ := d.st.GetServiceByName(service)
	var moves []recorder.PartitionMove
	for i, partition := range state.Partitions {
		if partition.Owner == from && rapid.Bool().Draw(d.t, "moved") {
			moves = append(moves, recorder.PartitionMove{
				Index: identifier.PartitionIndex(i),
				Epoch: identifier.Epoch(d.near(uint64(partition.Epoch))),
				To:    d.server(),
			})
		}
	}
	return moves
}

// next draws a record and its author.
func (d drawing) next() (identifier.InstanceID, recorder.Record) {
	author, server := d.author(), d.server()
	service := rapid.SampledFrom(drawnServices).Draw(d.t, "service")
	switch rapid.IntRange(0, 15).Draw(d.t, "kind") {
	case 0, 1:
		author = d.newcomer()
		return author, recorder.Join{Name: string(author), Domain: "a", PeerAddress: "10.0.1.1:7000"}
	case 2:
		if rapid.Bool().Draw(d.t, "leaves") {
			return author, recorder.Leave{}
		}
		return d.swap()
	case 3:
		return author, recorder.Expel{Instance: d.author()}
	case 4, 5:
		return d.release(author)
	case 6:
		return d.witnesses(author)
	case 7, 8:
		return author, recorder.ClaimFronts{Claims: []recorder.FrontClaim{{Server: server, Term: d.term(server)}}}
	case 9:
		hand := recorder.FrontHand{Server: server, Term: d.term(server), To: d.author()}
		return d.front(server), recorder.HandFronts{Hands: []recorder.FrontHand{hand}}
	case 10:
		return author, recorder.Assign{Service: service, Moves: d.moves(service, "")}
	case 11:
		record := recorder.Reassign{Service: service, From: server, Term: d.term(server), Moves: d.moves(service, server)}
		return d.front(server), record
	case 12:
		known, _ := d.st.GetServerByName(server)
		record := recorder.MeetServer{Server: server, Version: d.near(known.Version), Checks: rapid.Bool().Draw(d.t, "checks")}
		return author, record
	case 13, 14:
		return d.pin(service)
	default:
		parts := rapid.IntRange(1, 2).Draw(d.t, "parts")
		part := rapid.IntRange(0, parts).Draw(d.t, "part")
		return author, recorder.Snapshot{AsOf: d.st.Next() - min(d.st.Next(), 1), Part: part, Parts: parts}
	}
}

// swap draws a change of what a server that is fronted says of itself.
func (d drawing) swap() (identifier.InstanceID, recorder.Record) {
	server := d.server()
	known, _ := d.st.GetServerByName(server)
	return d.author(), recorder.MeetServer{Server: server, Version: known.Version, Checks: !known.Checks}
}

func (d drawing) release(author identifier.InstanceID) (identifier.InstanceID, recorder.Record) {
	lapsed := rapid.IntRange(0, 9).Draw(d.t, "lapsed") == 0
	witness := rapid.SampledFrom([]identifier.InstanceID{author, d.author()}).Draw(d.t, "witness")
	expelled := d.author()
	for _, m := range d.st.Members() {
		if m.Expelled && m.ID != author {
			expelled = m.ID
		}
	}
	return author, recorder.Release{Instance: expelled, Witness: witness, Lapsed: lapsed}
}

func (d drawing) witnesses(author identifier.InstanceID) (identifier.InstanceID, recorder.Record) {
	member, _ := d.st.GetMemberByID(author)
	all := rapid.SliceOfDistinct(rapid.SampledFrom(drawnAuthors), rapid.ID[identifier.InstanceID]).Draw(d.t, "witnesses")
	return author, recorder.SetWitnesses{Version: d.near(member.WitnessVersion), Witnesses: all}
}

func (d drawing) pin(service identifier.ServiceName) (identifier.InstanceID, recorder.Record) {
	state, _ := d.st.GetServiceByName(service)
	key := rapid.SampledFrom(drawnKeys).Draw(d.t, "key")
	base := identifier.PartitionIndex(rapid.IntRange(0, 1).Draw(d.t, "base"))
	var owner identifier.ServerName
	var epoch identifier.Epoch
	if int(base) < len(state.Partitions) {
		owner = state.Partitions[base].Owner
		epoch = identifier.Epoch(d.near(uint64(state.Partitions[base].Epoch)))
	}
	version := d.near(state.PinVersion)
	if rapid.Bool().Draw(d.t, "unpin") {
		return d.front(owner), recorder.Unpin{
			Service: service, Key: key, Base: base, Epoch: epoch, Term: d.term(owner), Version: version,
		}
	}
	return d.front(owner), recorder.Pin{
		Service: service, Key: key, Base: base, Epoch: epoch, Term: d.term(owner), Version: version,
	}
}

// drawLog folds drawn records after a bundle and two members; each is called after every record.
func drawLog(t *rapid.T, tb testing.TB, records int, each func(f *feed, verdict Verdict)) *feed {
	f := newFeed(tb).begin("a", "b", "c")
	for range rapid.IntRange(0, records).Draw(t, "records") {
		author, record := drawing{t: t, st: f.st}.next()
		each(f, f.add(author, record))
	}
	return f
}
