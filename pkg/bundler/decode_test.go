package bundler

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/pkg/reporter"
)

func TestDecodeReportsInvalidExample(t *testing.T) {
	tests := map[string]struct {
		old, new string
		want     reporter.Code
	}{
		"version 0":                {old: "version: 1\n", new: "version: 0\n", want: "out_of_range"},
		"parent of version 1":      {old: "version: 1\n", new: "version: 1\nparent_version: 1\n", want: "parent_refused"},
		"version 2 without parent": {old: "version: 1\n", new: "version: 2\n", want: "missing_key"},
		"parent is not the previous version": {
			old: "version: 1\n", new: "version: 3\nparent_version: 1\nparent_digest: x\n", want: "wrong_parent",
		},
		"author approves":          {old: "approver: yusuf", new: "approver: salma", want: "self_sign_off"},
		"approver is not a signer": {old: "approver: yusuf", new: "approver: hamed", want: "unknown_signer"},
		"duplicate signer":         {old: "name: noor", new: "name: salma", want: "doubled_signer"},
		"public key not in base64": {
			old: "public_key: 0znA/SFESdXbZGK7MP4cC3d4pC0d7iaewPezuNoAFdU=", new: "public_key: abcd", want: "wrong_form",
		},
		"duplicate service": {old: "name: template_shelf", new: "name: render_desk", want: "doubled_service"},
		"duplicate service in a route": {
			old: "      - service: render_desk\n", new: "      - service: render_desk\n      - service: render_desk\n",
			want: "doubled_service",
		},
		"unknown service in a route": {
			old: "      - service: template_shelf", new: "      - service: shelf", want: "unknown_service",
		},
		"connections missing":             {old: "    connections: 110\n", new: "", want: "missing_key"},
		"cold_keys without keyed":         {old: "keyed: false", new: "keyed: false\n    cold_keys: 1s", want: "not_keyed"},
		"warm-up rate without warm-up":    {old: "keyed: false", new: "keyed: false\n    warmup_rate: 5.1", want: "no_warmup"},
		"negative warm-up rate":           {old: "keyed: false", new: "keyed: false\n    warmup: 8s\n    warmup_rate: -5", want: "wrong_form"},
		"warm-up too long":                {old: "keyed: false", new: "keyed: false\n    warmup: 1h\n    warmup_rate: 5", want: "out_of_range"},
		"relative health path":            {old: "health_path: /health", new: "health_path: health", want: "wrong_form"},
		"duplicate route":                 {old: "name: render_order", new: "name: preview", want: "doubled_route"},
		"duplicate prefix":                {old: "prefix: /orders/", new: "prefix: /previews/", want: "doubled_prefix"},
		"prefix without slash at the end": {old: "prefix: /orders/", new: "prefix: /orders", want: "wrong_form"},
		"prefix with a query":             {old: "prefix: /orders/", new: "prefix: /orders?/", want: "wrong_form"},
		"host with a port": {
			old: "host: shelf.shashat.example", new: "host: shelf.shashat.example:80", want: "wrong_form",
		},
		"timeout 0":               {old: "timeout: 2s", new: "timeout: 0s", want: "out_of_range"},
		"objective above timeout": {old: "objective: 300ms", new: "objective: 3s", want: "out_of_range"},
		"priority too large":      {old: "priority: 1", new: "priority: 10", want: "out_of_range"},
		"attempts 0":              {old: "attempts: 1\n", new: "attempts: 0\n", want: "out_of_range"},
		"all weights 0":           {old: "weight: 100", new: "weight: 0", want: "out_of_range"},
		"body size without unit":  {old: "body_bytes: 8MiB", new: "body_bytes: 8", want: "wrong_unit"},
	}
	raw := string(readExample(t, "shashat", "bundle.yaml"))
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(raw, tc.old))
			_, err := Decode(name, []byte(strings.Replace(raw, tc.old, tc.new, 1)))
			if !reporter.HasCode(err, tc.want) {
				t.Errorf("no finding %s in:\n%v", tc.want, err)
			}
		})
	}
}

// TestDecodeBoundsFindingsOfHostileDocuments guards against error texts that grow without bound with the size of a
// document or the number of its errors.
func TestDecodeBoundsFindingsOfHostileDocuments(t *testing.T) {
	// The bound allows about 4 KiB for each of the 1,000 findings that a reporter.Findings keeps.
	const maxErrorBytes = 4 << 20
	routes := strings.Repeat("\n  - {name: a, host: a, prefix: /}", 15_000)
	tests := map[string]string{
		"50 MB":        strings.Repeat("name: x\n", 50<<20/8),
		"unknown keys": unknownKeys(60_000),
		"many routes":  "routes:" + routes,
		"many signers": "signers: [" + strings.Repeat("a,", 300_000) + "a]",
	}
	for name, raw := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			bundle, err := Decode(name, []byte(raw))
			is.True(bundle == nil)
			is.True(reporter.IsErrFindings(err))
			is.True(len(err.Error()) < maxErrorBytes)
		})
	}
}

// unknownKeys returns a document with n unknown keys.
func unknownKeys(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "key_%d: 1\n", i)
	}
	return b.String()
}
