package configurer

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/pkg/reporter"
)

const examples = "../../docs/examples"

func readExample(t testing.TB, deployment string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(examples, deployment, "entry.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func TestExamplesDecode(t *testing.T) {
	tests := map[string]struct {
		domain string
		log    string
		signer string
	}{
		"shashat":    {domain: "muscat_a", log: "10.20.0.10:7000", signer: "salma"},
		"federation": {domain: "edinburgh", log: "10.30.0.10:7000", signer: "isla"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, err := Decode(name, []byte(readExample(t, name)))
			is.NoErr(err)
			is.Equal(s.Instance(), "entry_1")
			is.Equal(string(s.Domain()), tc.domain)
			is.Equal(s.LogAddresses(), []string{tc.log})
			is.Equal(s.FirstSigners()[0].Name(), tc.signer)
			is.Equal(s.AdminAddress(), "127.0.0.1:8082")
			is.Equal(s.TimelineEvents(), 65536)
			is.Equal(s.CallerPort(), CallerPort{headerTimeout: 5 * time.Second, maxHeaderBytes: 32 << 10,
				maxConnections: 4000, maxBodyBytes: 16 << 20})
			mutual, ok := s.PeerSecurity().(MutualTLS)
			is.True(ok)
			is.Equal(mutual.KeyFile(), "tls/entry.key")
			is.Equal(mutual.PeerName(), "entry.wasabibank")
		})
	}
}

const small = `
instance: e1
failure_domain: here
caller_address: 127.0.0.1:0
peer_address: 127.0.0.1:0
admin_address: 127.0.0.1:0
log_addresses: [127.0.0.1:7000]
instance_list_address: 127.0.0.1:7001
first_signers:
  - {name: salma, public_key: 0znA/SFESdXbZGK7MP4cC3d4pC0d7iaewPezuNoAFdU=}
  - {name: yusuf, public_key: i3dNYHg1P7qEpbYgVSE+uqWzzkGodQYn9SslGJjcNKE=}
peer_security: {mode: plain}
`

func TestDecodeFindsOneFault(t *testing.T) {
	tests := map[string]struct {
		old, new string
		want     reporter.Code
	}{
		"good":                   {},
		"unknown key":            {old: "instance: e1", new: "instance: e1\nentry: e1", want: "unknown_key"},
		"doubled key":            {old: "instance: e1", new: "instance: e1\ninstance: e1", want: "doubled_key"},
		"missing":                {old: "instance: e1\n", want: "missing_key"},
		"no log":                 {old: "[127.0.0.1:7000]", new: "[]", want: "too_few"},
		"log on port 0":          {old: "[127.0.0.1:7000]", new: "[127.0.0.1:0]", want: "wrong_form"},
		"host name":              {old: "admin_address: 127.0.0.1:0", new: "admin_address: localhost:0", want: "wrong_form"},
		"one port for two":       {old: "peer_address: 127.0.0.1:0\nadmin_address: 127.0.0.1:0", new: "peer_address: 0.0.0.0:9\npeer_advertised_address: 10.0.0.1:9\nadmin_address: 127.0.0.1:9", want: "doubled_address"},
		"all IPs, no name":       {old: "peer_address: 127.0.0.1:0", new: "peer_address: 0.0.0.0:0", want: "missing_key"},
		"no security":            {old: "peer_security: {mode: plain}\n", want: "missing_key"},
		"mode":                   {old: "mode: plain", new: "mode: none", want: "wrong_form"},
		"plain with files":       {old: "mode: plain", new: "mode: plain, key_file: a", want: "not_mutual_tls"},
		"mutual TLS without key": {old: "mode: plain", new: "mode: mutual_tls, certificate_file: a, authority_file: b", want: "missing_key"},
		"one signer":             {old: "  - {name: yusuf, public_key: i3dNYHg1P7qEpbYgVSE+uqWzzkGodQYn9SslGJjcNKE=}\n", want: "too_few"},
		"time line":              {old: "instance: e1", new: "instance: e1\ntimeline_events: 1", want: "out_of_range"},
		"header timeout":         {old: "instance: e1", new: "instance: e1\ncaller_port: {header_timeout: 5}", want: "wrong_unit"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(small, tc.old))
			settings, err := Decode(name, []byte(strings.Replace(small, tc.old, tc.new, 1)))
			if tc.want == "" {
				is.NoErr(err)
				is.Equal(settings.PeerSecurity(), Plain{})
				return
			}
			is.True(settings == nil)
			if !reporter.HasCode(err, tc.want) {
				t.Errorf("no finding %s in:\n%v", tc.want, err)
			}
		})
	}
}

func TestDecodeRefusesHostileDocuments(t *testing.T) {
	tests := map[string]struct {
		raw  string
		want reporter.Code
	}{
		"empty":      {want: "empty_document"},
		"50 MB":      {raw: strings.Repeat("a", 50<<20), want: "too_large"},
		"alias bomb": {raw: "instance: &a [x, x]\nlog_addresses: &b [*a, *a]\nfirst_signers: [*b, *b]", want: "alias_refused"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Decode(name, []byte(tc.raw))
			is.New(t).True(reporter.HasCode(err, tc.want))
		})
	}
}

func TestLoadChecksFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	path := filepath.Join(dir, "entry.yaml")
	is.NoErr(os.WriteFile(path, []byte(readExample(t, "shashat")), 0o600))
	_, err := Load(context.Background(), path)
	is.Equal(len(reporter.FindingsOf(err)), 3)
	is.True(reporter.HasCode(err, "unreadable_file"))
	is.NoErr(os.Mkdir(filepath.Join(dir, "tls"), 0o700))
	for _, name := range []string{"entry.crt", "entry.key", "authority.crt"} {
		is.NoErr(os.WriteFile(filepath.Join(dir, "tls", name), nil, 0o600))
	}
	settings, err := Load(context.Background(), path)
	is.NoErr(err)
	is.Equal(settings.PeerSecurity().(MutualTLS).KeyFile(), filepath.Join(dir, "tls", "entry.key"))
	_, err = Load(context.Background(), filepath.Join(dir, "none.yaml"))
	is.True(err != nil && !reporter.IsErrFindings(err))
}

// FuzzDecode checks that each input gives settings or findings, and never a panic.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(small))
	f.Add([]byte(readExample(f, "shashat")))
	f.Add([]byte(readExample(f, "federation")))
	f.Fuzz(func(t *testing.T, raw []byte) {
		settings, err := Decode("fuzz", raw)
		if err != nil && (settings != nil || !reporter.IsErrFindings(err) || len(reporter.FindingsOf(err)) == 0) {
			t.Fatalf("neither settings nor findings: %v", err)
		}
		if err == nil && (len(settings.FirstSigners()) < 2 || settings.PeerSecurity() == nil) {
			t.Fatal("accepted without signers or security")
		}
	})
}
