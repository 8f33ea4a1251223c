package reducer

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// The names in the test bundles: desk is keyed, shelf is not.
const (
	desk  identifier.ServiceName = "desk"
	shelf identifier.ServiceName = "shelf"

	deskPartitions = 4
)

func testKey(name string) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed([]byte(strings.Repeat(name[:1], ed25519.SeedSize)))
}

func testSigner(name string) bundler.Signer {
	return bundler.NewSigner(name, testKey(name).Public().(ed25519.PublicKey))
}

func testGenesis() Genesis {
	return Genesis{FirstSigners: []bundler.Signer{testSigner("author"), testSigner("helper")}}
}

// testBundle is one version of the test bundle.
type testBundle struct {
	parent     *bundler.Bundle
	partitions int
	servers    []string
	moved      string
	retired    []string
	signers    []string
}

func (b testBundle) signed() bundler.Signed {
	raw := b.yaml()
	signers := b.signers
	if signers == nil {
		signers = []string{"author", "helper"}
	}
	signed := bundler.Signed{Raw: raw}
	for _, name := range signers {
		signed.SignOffs = append(signed.SignOffs, bundler.Sign(raw, name, testKey(name)))
	}
	return signed
}

func (b testBundle) yaml() []byte {
	var w strings.Builder
	version := uint64(1)
	if b.parent != nil {
		version = b.parent.Version() + 1
	}
	fmt.Fprintf(&w, "name: test\nversion: %d\n", version)
	if b.parent != nil {
		fmt.Fprintf(&w, "parent_version: %d\nparent_digest: %s\n", b.parent.Version(), b.parent.Digest())
	}
	w.WriteString("author: author\napprover: helper\nsigners:\n")
	for _, name := range []string{"author", "helper"} {
		public := base64.StdEncoding.EncodeToString(testKey(name).Public().(ed25519.PublicKey))
		fmt.Fprintf(&w, "  - name: %s\n    public_key: %s\n", name, public)
	}
	fmt.Fprintf(&w, "failure_domains: [a, b]\nretired_instances: [%s]\n", strings.Join(b.retired, ", "))
	w.WriteString("caller_limits:\n  - caller: \"*\"\n    rate: 10\n    burst: 10\n    concurrent: 0\nservices:\n")
	partitions := b.partitions
	if partitions == 0 {
		partitions = deskPartitions
	}
	fmt.Fprintf(&w, "  - name: desk\n    keyed: true\n    partitions: %d\n    imbalance_bound: 1.1\n    churn_budget: 12\n", partitions)
	servers := b.servers
	if servers == nil {
		servers = []string{"s1", "s2", "s3"}
	}
	b.writeServers(&w, servers)
	w.WriteString("  - name: shelf\n    keyed: false\n")
	b.writeServers(&w, []string{"h1"})
	return []byte(w.String())
}

func (b testBundle) writeServers(w *strings.Builder, servers []string) {
	w.WriteString(`    classes:
      - name: order
        match:
          - method: POST
            path: /**
        idempotent: false
        priority: 0
        deadline: 2s
        may_wait: false
        retries: 0
        retry_budget: 0
        hedged: false
        body_bytes: 64KiB
    server_defaults:
      slots: 3
      connections: 100
      connect_time: 1ms
      cold_start: 0s
    servers:
`)
	for _, name := range servers {
		port := 9000
		if name == b.moved {
			port = 9001
		}
		fmt.Fprintf(w, "      - name: %s\n        failure_domain: a\n        address: 10.0.%d.%s:%d\n", name, name[0], name[1:], port)
	}
}

// feed appends records to a state as the log would.
type feed struct {
	t       testing.TB
	st      *State
	serial  int
	entries []Entry
}

func newFeed(t testing.TB) *feed { return &feed{t: t, st: NewState(testGenesis())} }

// encode returns the bytes of a record under a fresh id.
func (f *feed) encode(author identifier.InstanceID, record recorder.Record) []byte {
	f.serial++
	id := identifier.RecordID(fmt.Sprintf("%s/%d", author, f.serial))
	data, err := recorder.Encode(recorder.NewEnvelope(id, author, time.UnixMilli(int64(f.serial)), record))
	if err != nil {
		f.t.Fatal(err)
	}
	return data
}

func (f *feed) add(author identifier.InstanceID, record recorder.Record) Verdict {
	return f.addBytes(f.encode(author, record))
}

func (f *feed) addBytes(data []byte) Verdict {
	offset := f.st.Next()
	verdict, err := f.st.Apply(offset, data)
	if err != nil {
		f.t.Fatal(err)
	}
	f.entries = append(f.entries, Entry{Offset: offset, Data: data})
	return verdict
}

// begin puts the first bundle in force and members on the roster.
func (f *feed) begin(members ...identifier.InstanceID) *feed {
	f.accept("operator", recorder.PublishBundle{Signed: testBundle{}.signed()})
	for _, id := range members {
		f.accept(id, recorder.Join{Name: string(id), Domain: "a", PeerAddress: "10.0.1.1:7000"})
	}
	return f
}

func (f *feed) accept(author identifier.InstanceID, record recorder.Record) {
	if refused, ok := f.add(author, record).(Refused); ok {
		f.t.Fatalf("%s by %s refused: %s %s", recorder.KindOf(record), author, refused.Reason, refused.Detail)
	}
}

// claim makes author the front of servers that are at term 0.
func (f *feed) claim(author identifier.InstanceID, servers ...identifier.ServerName) {
	var claims []recorder.FrontClaim
	for _, name := range servers {
		claims = append(claims, recorder.FrontClaim{Server: name})
	}
	f.accept(author, recorder.ClaimFronts{Claims: claims})
}

func bytesOf(t testing.TB, st *State) []byte {
	data, err := st.Marshal()
	is.New(t).NoErr(err)
	return data
}

// sameBut reports whether two states, as Marshal gave them, differ in nothing but the offset, which comes first.
func sameBut(t testing.TB, a, b []byte) bool {
	is := is.New(t)
	first, restA, okA := bytes.Cut(a, []byte{','})
	_, restB, okB := bytes.Cut(b, []byte{','})
	is.True(okA && okB && bytes.HasPrefix(first, []byte(`{"next":`)))
	return bytes.Equal(restA, restB)
}
