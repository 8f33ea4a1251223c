package faulter

import (
	"crypto/ed25519"
	"fmt"
	"strings"

	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/internal/reducer"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// The names in the bundles of the rig.
const (
	deskService  identifier.ServiceName = "desk"
	shelfService identifier.ServiceName = "shelf"
	authorName                          = "author"
	approverName                        = "approver"
)

// operators are the two people who sign the rig's bundles.
type operators struct {
	author   ed25519.PrivateKey
	approver ed25519.PrivateKey
}

func newOperators() operators {
	return operators{author: seededKey(1), approver: seededKey(2)}
}

func seededKey(seed byte) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed([]byte(strings.Repeat(string(rune('a'+seed)), ed25519.SeedSize)))
}

func publicOf(key ed25519.PrivateKey) ed25519.PublicKey { return key.Public().(ed25519.PublicKey) }

func (o operators) genesis() reducer.Genesis {
	return reducer.Genesis{FirstSigners: []bundler.Signer{
		bundler.NewSigner(authorName, publicOf(o.author)),
		bundler.NewSigner(approverName, publicOf(o.approver)),
	}}
}

// bundleText describes one version of a rig's bundle.
type bundleText struct {
	parent     *bundler.Bundle
	partitions int
	servers    []identifier.ServerName
	leaving    identifier.ServerName
	outage     string
	snapshot   string
}

// serverAddress returns the made-up address of the rig's i-th server.
func serverAddress(i int) string { return fmt.Sprintf("10.0.0.%d:9000", i+1) }

func (t bundleText) yaml(o operators) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "name: rig\nversion: %d\n", t.version())
	if t.parent != nil {
		fmt.Fprintf(&b, "parent_version: %d\nparent_digest: %s\n", t.parent.Version(), t.parent.Digest())
	}
	fmt.Fprintf(&b, "author: %s\napprover: %s\nsigners:\n", authorName, approverName)
	fmt.Fprintf(&b, "  - name: %s\n    public_key: %s\n", authorName, base64Of(publicOf(o.author)))
	fmt.Fprintf(&b, "  - name: %s\n    public_key: %s\n", approverName, base64Of(publicOf(o.approver)))
	b.WriteString("failure_domains: [a, b, c, d]\nretired_instances: []\n")
	b.WriteString("timings:\n  pause_bound: 4s\n")
	if t.outage != "" {
		fmt.Fprintf(&b, "  outage_limit: %s\n", t.outage)
	}
	if t.snapshot != "" {
		fmt.Fprintf(&b, "  snapshot_every: %s\n", t.snapshot)
	}
	b.WriteString("caller_limits:\n  - caller: \"*\"\n    rate: 1000\n    burst: 1000\n    concurrent: 0\nservices:\n")
	fmt.Fprintf(&b, "  - name: %s\n    keyed: true\n    partitions: %d\n    imbalance_bound: 1.1\n    churn_budget: 12\n", deskService, t.partitions)
	b.WriteString(classText("order", false))
	b.WriteString(serverDefaults)
	for i, name := range t.servers {
		fmt.Fprintf(&b, "      - name: %s\n        failure_domain: %c\n        address: %s\n        leaving: %t\n",
			name, 'a'+rune(i%4), serverAddress(i), name == t.leaving)
	}
	return []byte(b.String())
}

func (t bundleText) version() uint64 {
	if t.parent == nil {
		return 1
	}
	return t.parent.Version() + 1
}

func classText(name string, idempotent bool) string {
	return fmt.Sprintf(`    classes:
      - name: %s
        match:
          - method: POST
            path: /**
        idempotent: %t
        priority: 0
        deadline: 2s
        may_wait: false
        retries: 0
        retry_budget: 0
        hedged: false
        body_bytes: 64KiB
`, name, idempotent)
}

const serverDefaults = `    server_defaults:
      slots: 3
      connections: 100
      connect_time: 1ms
      cold_start: 0s
    servers:
`

// publish appends the bundle, signed by both, as an operator would.
func (w *World) publish(t bundleText) {
	raw := t.yaml(w.operators)
	signed := bundler.Signed{Raw: raw, SignOffs: []bundler.SignOff{
		bundler.Sign(raw, authorName, w.operators.author),
		bundler.Sign(raw, approverName, w.operators.approver),
	}}
	w.published++
	id := identifier.RecordID(fmt.Sprintf("operator/%d", w.published))
	data, err := recorder.Encode(recorder.NewEnvelope(id, authorName, w.now, recorder.PublishBundle{Signed: signed}))
	if err != nil {
		w.broken(PromiseBundle, "the rig's bundle can't be encoded: "+err.Error())
		return
	}
	w.log.append(data)
}
