package quarantiner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// at returns the time ms milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// crash returns the n-th of different crashes.
func crash(n int) Crash { return Crash{Server: "s", Incarnation: int64(n)} }

// same returns the fingerprints of a request without credentials.
func same(f Fingerprint) Fingerprints { return Fingerprints{Client: f, Content: f} }

var one = same(7)

// TestContentIsBarredForAllClients guards against three servers that end for each client that sends the same content, and against
// clients that are barred from content that crashes servers for one client only.
func TestContentIsBarredForAllClients(t *testing.T) {
	a, b, c := Fingerprints{1, 9}, Fingerprints{2, 9}, Fingerprints{3, 9}
	tests := map[string]struct {
		events func(q *Quarantine)
		want   map[Fingerprints]Verdict
	}{
		"crashes for every client": {
			events: func(q *Quarantine) {
				for n, request := range []Fingerprints{a, b, a} {
					q.Crashed(at(n), request, "", crash(n), true)
				}
			},
			want: map[Fingerprints]Verdict{a: Barred{Since: at(2), Crashes: 3}, c: Barred{Since: at(2), Crashes: 3}},
		},
		"crashes for one client, answered for another": {
			events: func(q *Quarantine) {
				for n := range 3 {
					q.Crashed(at(2*n), a, "", crash(n), true)
					q.Answered(at(2*n+1), b)
				}
			},
			want: map[Fingerprints]Verdict{a: Barred{Since: at(4), Crashes: 3}, b: Clear{}, c: Clear{}},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var q Quarantine
			test.events(&q)
			for request, want := range test.want {
				is.Equal(q.Verdict(at(10), request), want)
			}
		})
	}
}

// TestVerdicts guards against a request that is sent on after it has crashed three servers, and against one that is barred
// although a server has answered it, or for what one crash of a server did to several copies of it.
func TestVerdicts(t *testing.T) {
	type events func(q *Quarantine)
	crashed := func(ms, n int) events {
		return func(q *Quarantine) { q.Crashed(at(ms), one, "GET h/x", crash(n), true) }
	}
	crashedBeside := func(ms, n int) events {
		return func(q *Quarantine) { q.Crashed(at(ms), one, "GET h/x", crash(n), false) }
	}
	answered := func(ms int) events { return func(q *Quarantine) { q.Answered(at(ms), one) } }
	tests := map[string]struct {
		events []events
		now    time.Time
		want   Verdict
	}{
		"unknown":                   {now: at(0), want: Clear{}},
		"one crash":                 {events: []events{crashed(0, 1)}, now: at(1), want: Suspect{}},
		"two crashes":               {events: []events{crashed(0, 1), crashed(1, 2)}, now: at(2), want: Suspect{}},
		"three crashes":             {events: []events{crashed(0, 1), crashed(1, 2), crashed(2, 3)}, now: at(3), want: Barred{Since: at(2), Crashes: 3}},
		"one crash, noticed thrice": {events: []events{crashed(0, 1), crashed(1, 1), crashed(2, 1)}, now: at(3), want: Suspect{}},
		"three crashes beside others": {
			events: []events{crashedBeside(0, 1), crashedBeside(1, 2), crashedBeside(2, 3)}, now: at(3), want: Suspect{},
		},
		"two alone after those beside others": {
			events: []events{crashedBeside(0, 1), crashedBeside(1, 2), crashed(2, 3), crashed(3, 4)}, now: at(4),
			want: Barred{Since: at(3), Crashes: 4},
		},
		"answered":         {events: []events{crashed(0, 1), crashed(1, 2), answered(2)}, now: at(3), want: Clear{}},
		"answered between": {events: []events{crashed(0, 1), crashed(1, 2), answered(2), crashed(3, 3)}, now: at(4), want: Suspect{}},
		"the bar ends": {
			events: []events{crashed(0, 1), crashed(1, 2), crashed(2, 3)}, now: at(2).Add(barDuration), want: Suspect{},
		},
		"one more crash bars again": {
			events: []events{crashed(0, 1), crashed(1, 2), crashed(2, 3), crashed(600_010, 4)}, now: at(600_011),
			want: Barred{Since: at(2), Crashes: 4},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var q Quarantine
			for _, event := range test.events {
				event(&q)
			}
			is.Equal(q.VerdictOn(test.now, 7), test.want)
			is.Equal(q.VerdictOn(test.now, 8), Clear{})
		})
	}
}

// TestRecordsMergeInAnyOrder guards against instances that disagree about a request because they heard of its crashes and
// answers in different orders, or twice.
func TestRecordsMergeInAnyOrder(t *testing.T) {
	is := is.New(t)
	records := []Record{
		{Fingerprint: 7, Crashes: map[Crash]Sighting{crash(1): {At: at(0), Alone: true}}},
		{Fingerprint: 7, ClearedAt: at(5)},
		{Fingerprint: 7, Crashes: map[Crash]Sighting{crash(2): {At: at(10), Alone: true}, crash(3): {At: at(11), Alone: true}}},
		{Fingerprint: 7, Crashes: map[Crash]Sighting{crash(3): {At: at(11), Alone: true}, crash(4): {At: at(12), Alone: true}}},
	}
	for _, order := range [][]int{{0, 1, 2, 3}, {3, 2, 1, 0}, {1, 3, 0, 2, 2, 0}} {
		var q Quarantine
		for _, i := range order {
			q.Merge(at(20), records[i])
		}
		is.Equal(q.VerdictOn(at(20), 7), Barred{Since: at(12), Crashes: 3})
		is.True(!q.Merge(at(20), records[0])) // nothing new
	}
}

// TestMemoryIsBounded guards against memory that clients take with ever new requests, and against a barred request that these
// displace.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	var q Quarantine
	for n := range 3 {
		q.Crashed(at(n), same(1), strings.Repeat("x", 10_000), crash(n), true)
	}
	for n := range maxRecords + 50 {
		q.Crashed(at(10+n), same(Fingerprint(n+2)), "", crash(n), true)
	}
	is.Equal(len(q.Fingerprints()), maxRecords)
	is.Equal(q.Barred(at(10_000)), 1)
	record, ok := q.Get(1)
	is.True(ok)
	is.Equal(len(record.Name), maxNameBytes)
	for n := range 100 {
		q.Crashed(at(30_000+n), same(1), "", crash(1000+n), true)
	}
	record, _ = q.Get(1)
	is.True(len(record.Crashes) <= 2*crashesToBar)
	is.Equal(q.VerdictOn(at(30_100), 1), Barred{Since: at(2), Crashes: 2 * crashesToBar})
	is.Equal(q.VerdictOn(at(30_099).Add(barDuration-1), 1), Barred{Since: at(2), Crashes: 2 * crashesToBar})
}

// TestFingerprint guards against a repetition that has another fingerprint, and against different requests that share one.
func TestFingerprint(t *testing.T) {
	is := is.New(t)
	seen := map[Fingerprint]string{}
	for _, method := range []string{"GET", "POST"} {
		for _, host := range []string{"a", "ab"} {
			for _, uri := range []string{"/x", "b/x", "/x?y"} {
				for _, body := range []string{"", "1"} {
					var contents []Fingerprint
					for _, client := range []string{"", "session=1", "session=2"} {
						f := NewFingerprints(method, host, uri, client, []byte(body))
						is.Equal(seen[f.Client], "")
						seen[f.Client] = fmt.Sprint(method, "|", host, "|", uri, "|", client, "|", body)
						contents = append(contents, f.Content)
						is.Equal(f, NewFingerprints(method, host, uri, client, []byte(body)))
						parsed, err := ParseFingerprints(f.String())
						is.NoErr(err)
						is.Equal(parsed, f)
					}
					is.Equal(contents[1], contents[0])
					is.Equal(contents[2], contents[0])
				}
			}
		}
	}
	_, err := ParseFingerprints("x")
	is.True(err != nil)
}
