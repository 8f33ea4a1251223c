// Package quarantiner decides which requests are no longer sent to backend servers because each server that executes them
// crashes. A request is identified by its fingerprint, which stays the same when the request comes again. The package does no
// I/O; the current time is an argument.
//
// It handles a request that crashes every server, repeated by clients and instances: after a few crashes, counted over all
// instances, the request is barred, for the client that sends it or, if no client gets an answer to it, for all. Requests that
// ran beside it on a server that crashed are suspects as well. No two suspects run on one server at a time, an answer clears a
// suspect, and crashes under requests that were not suspects yet count as one. So a request is barred only if servers have
// crashed while it was the only suspect there.
package quarantiner

import (
	"cmp"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// crashesToBar is the number of servers that have crashed under a request when it is barred.
	crashesToBar = 3
	// barDuration is how long after the last crash a request is barred. Then it is a suspect again, which one more crash bars.
	barDuration = 10 * time.Minute
	// retention is how long after its last event a request is forgotten.
	retention = 2 * barDuration
	// maxRecords bounds the requests that are kept. The one with the oldest event is dropped for a new one; barred requests go
	// last.
	maxRecords = 4096
	// clearedPrecision is by how much the time of an answer may grow when instances pass it on.
	clearedPrecision = time.Second
	// clearedNews is how long after an answer has cleared a request that goes with it.
	clearedNews = 5 * time.Second
	// maxNameBytes bounds the name of a request.
	maxNameBytes = 200
)

// Fingerprint identifies a request, or what is asked for, across its repetitions; 0 means unknown.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Fingerprints are those of one request. A request may crash servers because of what it asks for, or only for a client.
type Fingerprints struct {
	Client  Fingerprint // of the content and of who sends it
	Content Fingerprint // of the content, whoever sends it; equal to Client if that is not known
}

// NewFingerprints returns the fingerprints of a request, from what servers execute. credentials (cookies and the like) are those
// of the client, and body may be in pieces. Its address, which servers don't get, and the request's id, which each repetition has anew, are left out.
func NewFingerprints(method, host, uri, credentials string, body ...[]byte) Fingerprints {
	h := xxhash.New()
	for _, part := range []string{method, host, uri} {
		_, _ = h.WriteString(part) // never fails
		_, _ = h.Write([]byte{0})
	}
	for _, piece := range body {
		_, _ = h.Write(piece)
	}
	f := Fingerprints{Content: Fingerprint(max(1, h.Sum64()))}
	f.Client = f.Content
	if credentials != "" {
		_, _ = h.Write([]byte{0})
		_, _ = h.WriteString(credentials)
		f.Client = Fingerprint(max(1, h.Sum64()))
	}
	return f
}

// String returns the fingerprints in hexadecimal, joined by a hyphen.
func (f Fingerprints) String() string {
	return f.Client.String() + "-" + f.Content.String()
}

// ParseFingerprints parses what String returns.
func ParseFingerprints(text string) (Fingerprints, error) {
	first, second, _ := strings.Cut(text, "-")
	client, err := strconv.ParseUint(first, 16, 64)
	if err != nil {
		return Fingerprints{}, errors.Wrap(err, "fingerprints")
	}
	content, err := strconv.ParseUint(second, 16, 64)
	if err != nil {
		return Fingerprints{}, errors.Wrap(err, "fingerprints")
	}
	return Fingerprints{Client: Fingerprint(client), Content: Fingerprint(content)}, nil
}

// each returns the different fingerprints that are known.
func (f Fingerprints) each() []Fingerprint {
	switch {
	case f.Client == 0:
		return nil
	case f.Client == f.Content:
		return []Fingerprint{f.Client}
	}
	return []Fingerprint{f.Client, f.Content}
}

// Crash is an incarnation of a backend server that ended while it executed a request.
type Crash struct {
	Server      string
	Incarnation int64
}

// Sighting says how a crash was noticed.
type Sighting struct {
	At time.Time
	// Alone says that the request was sent as a suspect, so that no other suspect ran on the server.
	Alone bool
}

// Verdict says how a request is treated: Clear, Suspect or Barred.
type Verdict interface{ verdict() }

// Clear is the verdict on a request under which no server has crashed.
type Clear struct{}

// Suspect is the verdict on a request that ran on servers when these crashed. It must not run beside another suspect.
type Suspect struct{}

// Barred is the verdict on a request that must not be sent to a server.
type Barred struct {
	Since   time.Time // of the crash that barred it
	Crashes int       // servers that have crashed under it, as far as is known
}

func (Clear) verdict()   {}
func (Suspect) verdict() {}
func (Barred) verdict()  {}

// Record is what is known about a request.
type Record struct {
	Fingerprint Fingerprint
	Name        string             // method, host and path, for operators
	Crashes     map[Crash]Sighting // since ClearedAt
	ClearedAt   time.Time          // when a server last answered the request; zero if none did
}

// lastEvent returns the time of the last crash or answer.
func (r *Record) lastEvent() time.Time {
	last := r.ClearedAt
	for _, sighting := range r.Crashes {
		if sighting.At.After(last) {
			last = sighting.At
		}
	}
	return last
}

// Verdict returns the verdict on the request.
func (r *Record) Verdict(now time.Time) Verdict {
	if len(r.Crashes) == 0 {
		return Clear{}
	}
	var since time.Time
	counted, beside := 0, false
	for _, crash := range r.byTime() {
		sighting := r.Crashes[crash]
		if !sighting.Alone && beside {
			continue
		}
		beside = beside || !sighting.Alone
		if counted++; counted == crashesToBar {
			since = sighting.At
		}
	}
	if counted < crashesToBar || now.Sub(r.lastEvent()) >= barDuration {
		return Suspect{}
	}
	return Barred{Since: since, Crashes: len(r.Crashes)}
}

// byTime returns the crashes in the order in which they were noticed.
func (r *Record) byTime() []Crash {
	return slices.SortedFunc(maps.Keys(r.Crashes), func(a, b Crash) int {
		return cmp.Or(r.Crashes[a].At.Compare(r.Crashes[b].At), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

// Quarantine holds the records of requests under which servers have crashed. The zero Quarantine is empty. It is not safe for
// concurrent use.
type Quarantine struct {
	records map[Fingerprint]*Record
}

// Verdict returns the verdict on a request, the severer one on its fingerprints.
func (q *Quarantine) Verdict(now time.Time, request Fingerprints) Verdict {
	var severest Verdict = Clear{}
	if len(q.records) == 0 {
		return severest
	}
	for _, f := range request.each() {
		r := q.records[f]
		if r == nil {
			continue
		}
		switch v := r.Verdict(now).(type) {
		case Barred:
			return v
		case Suspect:
			severest = v
		case Clear:
		}
	}
	return severest
}

// VerdictOn returns the verdict on a fingerprint.
func (q *Quarantine) VerdictOn(now time.Time, f Fingerprint) Verdict {
	return q.Verdict(now, Fingerprints{Client: f, Content: f})
}

// Crashed records that a server has crashed while it executed a request, alone says whether that was sent as a suspect, and
// returns the fingerprints for which that was not known.
func (q *Quarantine) Crashed(now time.Time, request Fingerprints, name string, crash Crash, alone bool) []Fingerprint {
	var changed []Fingerprint
	for _, f := range request.each() {
		if q.Merge(now, Record{Fingerprint: f, Name: name, Crashes: map[Crash]Sighting{crash: {At: now, Alone: alone}}}) {
			changed = append(changed, f)
		}
	}
	return changed
}

// Answered records that a server has executed a request and answered it, and returns the fingerprints that this clears.
func (q *Quarantine) Answered(now time.Time, request Fingerprints) []Fingerprint {
	var changed []Fingerprint
	if len(q.records) == 0 {
		return nil
	}
	for _, f := range request.each() {
		if r := q.records[f]; r != nil && len(r.Crashes) > 0 {
			r.clear(now)
			changed = append(changed, f)
		}
	}
	return changed
}

// clear drops the crashes up to a time at which a server answered the request.
func (r *Record) clear(at time.Time) {
	if at.After(r.ClearedAt) {
		r.ClearedAt = at
	}
	maps.DeleteFunc(r.Crashes, func(_ Crash, sighting Sighting) bool { return !sighting.At.After(r.ClearedAt) })
}

// Merge adds what another instance knows about a request, and reports whether any of it is new. The order in which records are
// merged, and how often, makes no difference.
func (q *Quarantine) Merge(now time.Time, other Record) bool {
	if other.Fingerprint == 0 || now.Sub(other.lastEvent()) >= retention {
		return false
	}
	r := q.records[other.Fingerprint]
	if r == nil {
		q.makeRoom(now)
		r = &Record{Fingerprint: other.Fingerprint, Name: other.Name[:min(len(other.Name), maxNameBytes)], Crashes: map[Crash]Sighting{}}
		if q.records == nil {
			q.records = map[Fingerprint]*Record{}
		}
		q.records[other.Fingerprint] = r
	}
	before := len(r.Crashes)
	if other.ClearedAt.After(r.ClearedAt) && (before > 0 || other.ClearedAt.Sub(r.ClearedAt) > clearedPrecision) {
		r.clear(other.ClearedAt)
	}
	changed := len(r.Crashes) < before
	for crash, sighting := range other.Crashes {
		known, ok := r.Crashes[crash]
		if ok && (known.Alone || !sighting.Alone) || !sighting.At.After(r.ClearedAt) {
			continue
		}
		if ok {
			sighting.At = known.At
		}
		r.Crashes[crash] = sighting
		changed = r.dropSurplus(crash) || changed
	}
	return changed
}

// dropSurplus drops a crash if there are too many, one that does not count if there is one, but neither the first ones, which say
// since when the request is barred, nor the latest. It reports whether added is kept.
func (r *Record) dropSurplus(added Crash) bool {
	if len(r.Crashes) <= 2*crashesToBar {
		return true
	}
	byTime := r.byTime()
	surplus := byTime[crashesToBar]
	for _, crash := range byTime[1 : len(byTime)-1] {
		if !r.Crashes[crash].Alone {
			surplus = crash
			break
		}
	}
	delete(r.Crashes, surplus)
	return surplus != added
}

// makeRoom drops outdated records and, if there are too many, the one that matters least.
func (q *Quarantine) makeRoom(now time.Time) {
	if len(q.records) < maxRecords {
		return
	}
	maps.DeleteFunc(q.records, func(_ Fingerprint, r *Record) bool { return now.Sub(r.lastEvent()) >= retention })
	if len(q.records) < maxRecords {
		return
	}
	var least *Record
	for _, r := range q.records {
		if least == nil || r.mattersLess(now, least) {
			least = r
		}
	}
	delete(q.records, least.Fingerprint)
}

// mattersLess reports whether r is dropped before other: cleared requests first, barred ones last, older ones before newer ones.
func (r *Record) mattersLess(now time.Time, other *Record) bool {
	return cmp.Or(cmp.Compare(r.rank(now), other.rank(now)), r.lastEvent().Compare(other.lastEvent())) < 0
}

func (r *Record) rank(now time.Time) int {
	switch r.Verdict(now).(type) {
	case Suspect:
		return 1
	case Barred:
		return 2
	}
	return 0
}

// Get returns a copy of the record of a request, and false if there is none.
func (q *Quarantine) Get(f Fingerprint) (Record, bool) {
	r := q.records[f]
	if r == nil {
		return Record{}, false
	}
	c := *r
	c.Crashes = maps.Clone(r.Crashes)
	return c, true
}

// Fingerprints returns the fingerprints of all records, sorted.
func (q *Quarantine) Fingerprints() []Fingerprint { return slices.Sorted(maps.Keys(q.records)) }

// Barred returns the number of barred requests.
func (q *Quarantine) Barred(now time.Time) int {
	count := 0
	for _, r := range q.records {
		if _, barred := r.Verdict(now).(Barred); barred {
			count++
		}
	}
	return count
}

// Encode returns what is known about a request as text for another instance, or nothing if it is clear: a
// record for each fingerprint, separated by spaces. A record has the fingerprint in hexadecimal, the age of the last answer or a
// hyphen, and the crashes, separated by semicolons; a crash has the escaped id of the server, its incarnation, its age and whether the
// request was alone. Ages are in milliseconds.
func (q *Quarantine) Encode(now time.Time, request Fingerprints) string {
	if len(q.records) == 0 {
		return ""
	}
	var records []string
	for _, f := range request.each() {
		r := q.records[f]
		if r == nil || len(r.Crashes) == 0 && now.Sub(r.ClearedAt) > clearedNews {
			continue
		}
		cleared := "-"
		if !r.ClearedAt.IsZero() {
			cleared = strconv.FormatInt(now.Sub(r.ClearedAt).Milliseconds(), 10)
		}
		parts := []string{strconv.FormatUint(uint64(f), 16), cleared}
		for crash, sighting := range r.Crashes {
			parts = append(parts, fmt.Sprintf("%s,%d,%d,%t",
				url.QueryEscape(crash.Server), crash.Incarnation, now.Sub(sighting.At).Milliseconds(), sighting.Alone))
		}
		records = append(records, strings.Join(parts, ";"))
	}
	return strings.Join(records, " ")
}

// DecodeRecords returns the records that Encode writes.
func DecodeRecords(now time.Time, text string) ([]Record, error) {
	before := func(ageMS string) (time.Time, error) {
		ms, err := strconv.ParseInt(ageMS, 10, 64)
		return now.Add(-time.Duration(ms) * time.Millisecond), errors.Wrap(err, "age")
	}
	var records []Record
	for _, encoded := range strings.Fields(text) {
		parts := strings.Split(encoded, ";")
		f, err := strconv.ParseUint(parts[0], 16, 64)
		if err != nil || len(parts) < 2 {
			return nil, errors.Errorf("record of a request has no fingerprint: %q", encoded)
		}
		r := Record{Fingerprint: Fingerprint(f), Crashes: map[Crash]Sighting{}}
		if parts[1] != "-" {
			if r.ClearedAt, err = before(parts[1]); err != nil {
				return nil, err
			}
		}
		for _, part := range parts[2:] {
			fields := strings.Split(part, ",")
			if len(fields) != 4 {
				return nil, errors.Errorf("%d fields of a crash instead of 4", len(fields))
			}
			server, err := url.QueryUnescape(fields[0])
			if err != nil {
				return nil, errors.Wrap(err, "server")
			}
			incarnation, err := strconv.ParseInt(fields[1], 10, 64)
			if err != nil {
				return nil, errors.Wrap(err, "incarnation")
			}
			at, err := before(fields[2])
			if err != nil {
				return nil, err
			}
			r.Crashes[Crash{Server: server, Incarnation: incarnation}] = Sighting{At: at, Alone: fields[3] == "true"}
		}
		records = append(records, r)
	}
	return records, nil
}
