package reducer

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

func moveOf(index int, epoch identifier.Epoch, to identifier.ServerName) []recorder.PartitionMove {
	return []recorder.PartitionMove{{Index: identifier.PartitionIndex(index), Epoch: epoch, To: to}}
}

func assign(index int, epoch identifier.Epoch, to identifier.ServerName) recorder.Assign {
	return recorder.Assign{Service: desk, Moves: moveOf(index, epoch, to)}
}

func reassign(from identifier.ServerName, term identifier.Term, moves []recorder.PartitionMove) recorder.Reassign {
	return recorder.Reassign{Service: desk, From: from, Term: term, Moves: moves}
}

func claim(server identifier.ServerName, term identifier.Term) recorder.ClaimFronts {
	return recorder.ClaimFronts{Claims: []recorder.FrontClaim{{Server: server, Term: term}}}
}

func handTo(server identifier.ServerName, term identifier.Term, to identifier.InstanceID) recorder.HandFronts {
	return recorder.HandFronts{Hands: []recorder.FrontHand{{Server: server, Term: term, To: to}}}
}

// TestRules feeds one record to a state in which a, b, c are members, a fronts s1 and s2, partition 0 is on s1 at
// epoch 1, and b is expelled. An empty reason is an acceptance.
func TestRules(t *testing.T) {
	tests := map[string]struct {
		author identifier.InstanceID
		record recorder.Record
		want   Reason
	}{
		"stranger":                     {"x", recorder.Expel{Instance: "a"}, ReasonNotMember},
		"expelled author":              {"b", recorder.Expel{Instance: "a"}, ReasonExpelled},
		"join again":                   {"a", recorder.Join{}, ReasonRepeat},
		"join after leaving":           {"d", recorder.Join{}, ReasonRepeat},
		"join":                         {"f", recorder.Join{Name: "f"}, ""},
		"leave":                        {"c", recorder.Leave{}, ""},
		"expelled leaves":              {"b", recorder.Leave{}, ""},
		"stranger leaves":              {"x", recorder.Leave{}, ReasonNotMember},
		"expel":                        {"a", recorder.Expel{Instance: "c"}, ""},
		"expel a stranger":             {"a", recorder.Expel{Instance: "x"}, ReasonUnknown},
		"expel again":                  {"a", recorder.Expel{Instance: "b"}, ReasonRepeat},
		"expel itself":                 {"a", recorder.Expel{Instance: "a"}, ReasonMalformed},
		"release":                      {"a", recorder.Release{Instance: "b", Witness: "a"}, ""},
		"release again":                {"c", recorder.Release{Instance: "b", Witness: "c"}, ReasonRepeat},
		"release for another":          {"c", recorder.Release{Instance: "b", Witness: "a"}, ReasonHeld},
		"release by no witness":        {"a", recorder.Release{Instance: "b", Witness: "x"}, ReasonNotWitness},
		"release a stranger":           {"a", recorder.Release{Instance: "x", Witness: "a"}, ReasonUnknown},
		"release one not expelled":     {"a", recorder.Release{Instance: "c", Witness: "a"}, ReasonStale},
		"release by lapse":             {"a", recorder.Release{Instance: "b", Lapsed: true}, ""},
		"witnesses":                    {"a", recorder.SetWitnesses{Version: 1, Witnesses: []identifier.InstanceID{"c"}}, ""},
		"witnesses, older version":     {"a", recorder.SetWitnesses{Version: 0}, ReasonStale},
		"witness itself":               {"a", recorder.SetWitnesses{Version: 1, Witnesses: []identifier.InstanceID{"a"}}, ReasonUnknown},
		"expelled witness":             {"a", recorder.SetWitnesses{Version: 1, Witnesses: []identifier.InstanceID{"b"}}, ReasonUnknown},
		"claim":                        {"c", claim("s3", 0), ""},
		"claim a held front":           {"c", claim("s1", 1), ReasonHeld},
		"claim, older term":            {"c", claim("s1", 0), ReasonStale},
		"claim an unknown server":      {"c", claim("s9", 0), ReasonUnknown},
		"claim nothing":                {"c", recorder.ClaimFronts{}, ReasonMalformed},
		"claim twice":                  {"c", recorder.ClaimFronts{Claims: []recorder.FrontClaim{{Server: "s3"}, {Server: "s3"}}}, ReasonMalformed},
		"claim of the expelled, met":   {"c", claim("h1", 1), ""},
		"hand":                         {"a", handTo("s1", 1, "c"), ""},
		"hand another's front":         {"c", handTo("s1", 1, "a"), ReasonNotFront},
		"hand, older term":             {"a", handTo("s1", 0, "c"), ReasonNotFront},
		"hand to an expelled":          {"a", handTo("s1", 1, "b"), ReasonUnknown},
		"hand an unknown server":       {"a", handTo("s9", 1, "c"), ReasonUnknown},
		"hand nothing":                 {"a", recorder.HandFronts{}, ReasonMalformed},
		"assign":                       {"c", assign(1, 0, "s2"), ""},
		"assign to an undeclared":      {"c", assign(1, 0, "s9"), ""},
		"assign an owned":              {"c", assign(0, 1, "s2"), ReasonStale},
		"assign, other epoch":          {"c", assign(1, 1, "s2"), ReasonStale},
		"assign no partition":          {"c", recorder.Assign{Service: desk}, ReasonMalformed},
		"assign an unknown partition":  {"c", assign(deskPartitions+1, 0, "s2"), ReasonUnknown},
		"assign a negative partition":  {"c", assign(-1, 0, "s2"), ReasonUnknown},
		"assign one twice":             {"c", recorder.Assign{Service: desk, Moves: append(moveOf(1, 0, "s1"), moveOf(1, 0, "s2")...)}, ReasonUnknown},
		"assign in no keyed service":   {"c", recorder.Assign{Service: shelf, Moves: moveOf(0, 0, "h1")}, ReasonUnknown},
		"reassign":                     {"a", reassign("s1", 1, moveOf(0, 1, "s2")), ""},
		"reassign, not the front":      {"c", reassign("s1", 1, moveOf(0, 1, "s2")), ReasonNotFront},
		"reassign, older term":         {"a", reassign("s1", 0, moveOf(0, 1, "s2")), ReasonNotFront},
		"reassign, older epoch":        {"a", reassign("s1", 1, moveOf(0, 0, "s2")), ReasonStale},
		"reassign from another server": {"a", reassign("s2", 1, moveOf(0, 1, "s3")), ReasonStale},
		"reassign the unowned":         {"a", reassign("s1", 1, moveOf(1, 0, "s2")), ReasonStale},
		"reassign from none":           {"a", reassign("", 1, moveOf(1, 0, "s2")), ReasonMalformed},
		"reassign from an undeclared":  {"a", reassign("s9", 1, moveOf(0, 1, "s2")), ReasonUnknown},
		"meet":                         {"c", recorder.MeetServer{Server: "s1", Version: 0, Checks: true}, ""},
		"meet, older version":          {"c", recorder.MeetServer{Server: "s1", Version: 1, Checks: true}, ReasonStale},
		"meet an undeclared":           {"c", recorder.MeetServer{Server: "s9"}, ReasonUnknown},
		"pin":                          {"a", recorder.Pin{Service: desk, Key: "new", Base: 0, Epoch: 1, Term: 1, Version: 1}, ""},
		"pin again":                    {"a", recorder.Pin{Service: desk, Key: "hot", Base: 0, Epoch: 1, Term: 1, Version: 1}, ReasonRepeat},
		"pin, not the front":           {"c", recorder.Pin{Service: desk, Key: "new", Base: 0, Epoch: 1, Term: 1, Version: 1}, ReasonNotFront},
		"pin, older epoch":             {"a", recorder.Pin{Service: desk, Key: "new", Base: 0, Epoch: 0, Term: 1, Version: 1}, ReasonStale},
		"pin on a pin":                 {"a", recorder.Pin{Service: desk, Key: "new", Base: deskPartitions, Epoch: 1, Term: 1, Version: 1}, ReasonUnknown},
		"pin, older version":           {"a", recorder.Pin{Service: desk, Key: "new", Base: 0, Epoch: 1, Term: 1}, ReasonStale},
		"unpin, older version":         {"a", recorder.Unpin{Service: desk, Key: "hot", Base: 0, Epoch: 1, Term: 1}, ReasonStale},
		"unpin":                        {"a", recorder.Unpin{Service: desk, Key: "hot", Base: 0, Epoch: 1, Term: 1, Version: 1}, ""},
		"unpin a free key":             {"a", recorder.Unpin{Service: desk, Key: "new", Base: 0, Epoch: 1, Term: 1, Version: 1}, ReasonUnknown},
		"unpin no key":                 {"a", recorder.Unpin{Service: desk, Base: 0, Epoch: 1, Term: 1, Version: 1}, ReasonUnknown},
		"snapshot":                     {"a", recorder.Snapshot{AsOf: 5, Part: 0, Parts: 1}, ""},
		"snapshot of nothing":          {"a", recorder.Snapshot{AsOf: 0, Part: 0, Parts: 1}, ReasonStale},
		"snapshot without parts":       {"a", recorder.Snapshot{AsOf: 5}, ReasonMalformed},
		"snapshot, no such part":       {"a", recorder.Snapshot{AsOf: 5, Part: 2, Parts: 2}, ReasonMalformed},
		"bundle":                       {"o", nil, ""},
		"bundle, first again":          {"o", recorder.PublishBundle{Signed: testBundle{}.signed()}, ReasonNotSuccessor},
		"bundle, no YAML":              {"o", recorder.PublishBundle{Signed: bundler.Signed{Raw: []byte("x")}}, ReasonBadBundle},
		"bundle, one signature":        {"o", recorder.PublishBundle{Signed: testBundle{signers: []string{"author"}}.signed()}, ReasonBadSignature},
		"bundle, wrong signer":         {"o", recorder.PublishBundle{Signed: testBundle{signers: []string{"author", "x"}}.signed()}, ReasonBadSignature},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := ruleFeed(t)
			record := tc.record
			if record == nil {
				record = recorder.PublishBundle{Signed: testBundle{parent: f.st.Bundle()}.signed()}
			}
			before := bytesOf(t, f.st)
			verdict := f.add(tc.author, record)
			refused, ok := verdict.(Refused)
			is.Equal(refused.Reason, tc.want)
			is.Equal(ok, tc.want != "")
			if ok {
				is.True(sameBut(t, before, bytesOf(t, f.st)))
			}
		})
	}
}

func ruleFeed(t testing.TB) *feed {
	f := newFeed(t).begin("a", "b", "c", "d", "e")
	f.accept("d", recorder.Leave{})
	f.claim("a", "s1", "s2")
	f.claim("b", "h1")
	f.accept("a", assign(0, 0, "s1"))
	f.accept("a", recorder.Pin{Service: desk, Key: "hot", Base: 0, Epoch: 1, Term: 1})
	f.accept("a", recorder.SetWitnesses{Version: 0, Witnesses: []identifier.InstanceID{"b", "c"}})
	f.accept("b", recorder.SetWitnesses{Version: 0, Witnesses: []identifier.InstanceID{"a", "c"}})
	f.accept("b", recorder.SetWitnesses{Version: 1, Witnesses: []identifier.InstanceID{"a", "c", "e"}})
	f.accept("a", recorder.Expel{Instance: "b"})
	f.accept("c", recorder.Release{Instance: "b", Witness: "c"})
	return f
}

func TestMalformedRecordIsRefused(t *testing.T) {
	is := is.New(t)
	f := ruleFeed(t)
	before := bytesOf(t, f.st)
	refused, ok := f.addBytes([]byte("{}")).(Refused)
	is.True(ok)
	is.Equal(refused.Reason, ReasonMalformed)
	is.True(sameBut(t, before, bytesOf(t, f.st)))
}

func TestBundleKeepsWhatNamesMean(t *testing.T) {
	tests := map[string]testBundle{
		"other partitions": {partitions: deskPartitions + 1},
		"server moved":     {moved: "s1"},
	}
	for name, next := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := ruleFeed(t)
			next.parent = f.st.Bundle()
			refused, ok := f.add("o", recorder.PublishBundle{Signed: next.signed()}).(Refused)
			is.True(ok)
			is.Equal(refused.Reason, ReasonNotSuccessor)
		})
	}
}

func TestUncheckingServerIsHeldUntilItsFrontIsGone(t *testing.T) {
	is := is.New(t)
	f := newFeed(t).begin("a", "b", "c")
	f.claim("b", "s1")
	f.accept("a", recorder.Expel{Instance: "b"})
	refused, ok := f.add("a", claim("s1", 1)).(Refused)
	is.True(ok)
	is.Equal(refused.Reason, ReasonHeld)
	f.accept("a", recorder.MeetServer{Server: "s1", Checks: true})
	f.accept("a", claim("s1", 1))
	server, _ := f.st.GetServerByName("s1")
	is.Equal(server.Front.Unsettled, []identifier.InstanceID{"b"})
	is.Equal(server.Front.Clean, false)
	f.accept("a", recorder.Release{Instance: "b", Lapsed: true})
	server, _ = f.st.GetServerByName("s1")
	is.Equal(len(server.Front.Unsettled), 0)
}

func TestPinsHaveABound(t *testing.T) {
	is := is.New(t)
	f := newFeed(t).begin("a")
	f.claim("a", "s1")
	f.accept("a", assign(0, 0, "s1"))
	service := f.st.s.Services[desk]
	for len(service.Pins) < MaxPins {
		index := identifier.PartitionIndex(len(service.Partitions))
		service.Pins = append(service.Pins, PinState{Key: "k", Index: index})
		service.Partitions = append(service.Partitions, PartitionState{Owner: "s1", Epoch: 1})
	}
	refused, ok := f.add("a", recorder.Pin{Service: desk, Key: "new", Epoch: 1, Term: 1}).(Refused)
	is.True(ok)
	is.Equal(refused.Reason, ReasonHeld)
}

func TestGapIsAnError(t *testing.T) {
	is := is.New(t)
	f := ruleFeed(t)
	before := bytesOf(t, f.st)
	next := f.st.Next()
	_, err := f.st.Apply(next+1, f.encode("a", recorder.Leave{}))
	var gap ErrGap
	is.True(errors.As(err, &gap))
	is.Equal(gap, ErrGap{Want: next, Got: next + 1})
	verdict, err := f.st.Apply(next-1, f.encode("a", recorder.Leave{}))
	is.NoErr(err)
	is.Equal(verdict, nil) // folded before
	is.Equal(bytesOf(t, f.st), before)
}
