package recorder

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// everyRecord holds one record of each kind.
func everyRecord() map[string]Record {
	ids := []identifier.InstanceID{"b", "c"}
	moves := []PartitionMove{{Index: 3, Epoch: 7, To: "s2"}}
	return map[string]Record{
		"publish_bundle": PublishBundle{Signed: bundler.Signed{
			Raw:      []byte("name: x\n\xff"),
			SignOffs: []bundler.SignOff{{Signer: "p", Signature: []byte{0, 255}}},
		}},
		"join":          Join{Name: "entry", Domain: "a", PeerAddress: "10.0.0.1:7000"},
		"leave":         Leave{},
		"expel":         Expel{Instance: "b"},
		"release":       Release{Instance: "b", Witness: "c", Lapsed: true},
		"set_witnesses": SetWitnesses{Version: 4, Witnesses: ids},
		"claim_fronts":  ClaimFronts{Claims: []FrontClaim{{Server: "s1", Term: 2}}},
		"hand_fronts":   HandFronts{Hands: []FrontHand{{Server: "s1", Term: 2, To: "b"}}},
		"assign":        Assign{Service: "desk", Moves: moves},
		"reassign":      Reassign{Service: "desk", From: "s1", Term: 2, Moves: moves},
		"meet_server":   MeetServer{Server: "s1", Version: 1, Checks: true},
		"pin":           Pin{Service: "desk", Key: "k\"é/\u2028", Base: 1, Epoch: 2, Term: 3, Version: 4},
		"unpin":         Unpin{Service: "desk", Key: "k", Base: 1, Epoch: 2, Term: 3, Version: 4},
		"snapshot":      Snapshot{AsOf: 9, Part: 1, Parts: 2, Data: []byte{1, 2, 3}},
	}
}

func TestRoundTrip(t *testing.T) {
	wall := time.Date(2026, 12, 3, 4, 5, 6, 789_999_999, time.FixedZone("east", 4*3600))
	for name, record := range everyRecord() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(KindOf(record), name)
			data, err := Encode(NewEnvelope("id", "a", wall, record))
			is.NoErr(err)
			got, err := Decode(data)
			is.NoErr(err)
			is.Equal(got, NewEnvelope("id", "a", wall, record))
			is.Equal(got.Wall(), wall.UTC().Truncate(time.Millisecond))
			again, err := Encode(got)
			is.NoErr(err)
			is.Equal(string(again), string(data))
		})
	}
}

func TestDecodeRefuses(t *testing.T) {
	good := `{"format":1,"id":"i","author":"a","wall_ms":1,"kind":"leave","body":{}}`
	tests := map[string]string{
		"nothing":              "",
		"no JSON":              "leave",
		"another format":       strings.Replace(good, `"format":1`, `"format":2`, 1),
		"no id":                strings.Replace(good, `"i"`, `""`, 1),
		"no author":            strings.Replace(good, `"a"`, `""`, 1),
		"unknown kind":         strings.Replace(good, "leave", "stay", 1),
		"unknown field":        strings.Replace(good, `"wall_ms"`, `"wall"`, 1),
		"unknown body field":   strings.Replace(good, `{}`, `{"x":1}`, 1),
		"no body":              strings.Replace(good, `,"body":{}`, "", 1),
		"body of another type": strings.Replace(good, `{}`, `[]`, 1),
		"data after":           good + good,
		"too long":             strings.Replace(good, `{}`, `{`+strings.Repeat(" ", MaxBytes)+`}`, 1),
	}
	_, err := Decode([]byte(good))
	is.New(t).NoErr(err)
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Decode([]byte(data))
			is.True(IsErrMalformed(err))
		})
	}
}

func TestEncodeRefusesTooLong(t *testing.T) {
	is := is.New(t)
	_, err := Encode(NewEnvelope("i", "a", time.Time{}, Snapshot{Data: make([]byte, MaxBytes)}))
	is.True(IsErrMalformed(err))
}

func FuzzDecode(f *testing.F) {
	for _, record := range everyRecord() {
		data, err := Encode(NewEnvelope("id", "a", time.UnixMilli(1), record))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		envelope, err := Decode(data)
		if err != nil {
			if !IsErrMalformed(err) {
				t.Fatalf("not an ErrMalformed: %v", err)
			}
			return
		}
		again, err := Encode(envelope)
		if err != nil {
			return // escapes may lengthen it beyond the bound
		}
		second, err := Decode(again)
		if err != nil {
			t.Fatal(err)
		}
		last, err := Encode(second)
		if err != nil || !bytes.Equal(again, last) {
			t.Fatalf("%s became %s: %v", again, last, err)
		}
		if !json.Valid(again) {
			t.Fatal("no JSON")
		}
	})
}
