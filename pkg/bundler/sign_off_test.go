package bundler

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/pkg/reporter"
)

// exampleKey returns the private key of the example signer name; its public key is under docs/examples/keys.
func exampleKey(name string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte("wasabibank trial key of " + name))
	return ed25519.NewKeyFromSeed(seed[:])
}

func exampleSigner(name string) Signer {
	return NewSigner(name, exampleKey(name).Public().(ed25519.PublicKey))
}

// signedBy returns raw with a sign-off by each of the example signers names.
func signedBy(raw []byte, names ...string) Signed {
	signed := Signed{Raw: raw}
	for _, name := range names {
		signed.SignOffs = append(signed.SignOffs, Sign(raw, name, exampleKey(name)))
	}
	return signed
}

func TestExampleSignersMatchKeyFiles(t *testing.T) {
	for _, deployment := range []string{"shashat", "federation"} {
		for _, signer := range decodeExample(t, deployment).Signers() {
			is := is.New(t)
			public := exampleSigner(signer.Name()).PublicKey()
			is.True(signer.PublicKey().Equal(public))
			text := strings.TrimSpace(string(readExample(t, "keys", signer.Name()+".pub")))
			is.Equal(text, base64.StdEncoding.EncodeToString(public))
		}
	}
}

// TestVerifyAgainst guards against accepting a bundle without valid signatures of two different trusted signers.
func TestVerifyAgainst(t *testing.T) {
	raw := readExample(t, "shashat", "bundle.yaml")
	twoSigners := []Signer{exampleSigner("salma"), exampleSigner("yusuf")}
	sameKey := []Signer{exampleSigner("salma"), NewSigner("yusuf", exampleSigner("salma").publicKey)}
	changed := []byte(strings.Replace(string(raw), "timeout: 2s", "timeout: 9s", 1))
	otherKey := signedBy(raw, "salma", "yusuf")
	otherKey.SignOffs[1] = Sign(raw, "yusuf", exampleKey("salma"))
	copied := signedBy(raw, "salma", "salma")
	copied.SignOffs[1].Signer = "yusuf"
	tests := map[string]struct {
		signed  Signed
		trusted []Signer
		want    reporter.Code
	}{
		"valid":       {signed: signedBy(raw, "salma", "yusuf"), trusted: twoSigners},
		"other order": {signed: signedBy(raw, "yusuf", "salma"), trusted: twoSigners},
		"no sign-off by the approver": {
			signed: signedBy(raw, "salma"), trusted: twoSigners, want: "missing_sign_off",
		},
		"no sign-offs": {signed: signedBy(raw), trusted: twoSigners, want: "sign_off_count"},
		"sign-off by a third signer": {
			signed: signedBy(raw, "salma", "noor"), trusted: twoSigners, want: "missing_sign_off",
		},
		"author not trusted": {
			signed: signedBy(raw, "salma", "yusuf"), trusted: twoSigners[1:], want: "unknown_signer",
		},
		"no trusted signers": {signed: signedBy(raw, "salma", "yusuf"), want: "unknown_signer"},
		"bundle changed after sign-off": {
			signed: Signed{Raw: changed, SignOffs: signedBy(raw, "salma", "yusuf").SignOffs}, trusted: twoSigners,
			want: "wrong_signature",
		},
		"signed with another key":              {signed: otherKey, trusted: twoSigners, want: "wrong_signature"},
		"signature copied from another signer": {signed: copied, trusted: sameKey, want: "wrong_signature"},
		"two names with one public key": {
			signed: Signed{Raw: raw, SignOffs: []SignOff{
				Sign(raw, "salma", exampleKey("salma")), Sign(raw, "yusuf", exampleKey("salma")),
			}},
			trusted: sameKey, want: "self_sign_off",
		},
		"invalid bundle": {
			signed: signedBy([]byte("name: x"), "salma", "yusuf"), trusted: twoSigners, want: "missing_key",
		},
		"another public key for the name": {
			signed:  signedBy(raw, "salma", "yusuf"),
			trusted: []Signer{NewSigner("salma", exampleSigner("isla").publicKey), twoSigners[1]}, want: "wrong_signature",
		},
		"public key of a wrong length": {
			signed: signedBy(raw, "salma", "yusuf"), trusted: []Signer{NewSigner("salma", nil), twoSigners[1]},
			want: "unknown_signer",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := tc.signed.VerifyAgainst(tc.trusted)
			if tc.want == "" {
				is.NoErr(err)
				return
			}
			is.True(reporter.HasCode(err, tc.want))
		})
	}
}

// TestSignedKeepsItsStoredFormat guards against a change of the JSON in which the store holds published bundles.
func TestSignedKeepsItsStoredFormat(t *testing.T) {
	is := is.New(t)
	signed := signedBy([]byte("name: x"), "salma")
	data, err := json.Marshal(signed)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(data), `{"raw":"bmFtZTogeA==","sign_offs":[{"signer":"salma","signature":"`))
	var decoded Signed
	is.NoErr(json.Unmarshal(data, &decoded))
	is.Equal(decoded, signed)
}

func TestSignOffFileReplacesAndRoundTrips(t *testing.T) {
	is := is.New(t)
	raw, otherRaw := []byte("one"), []byte("two")
	var file SignOffFile
	for _, name := range []string{"salma", "yusuf", "salma"} {
		file = file.Add(raw, Sign(raw, name, exampleKey(name)))
	}
	decoded, err := DecodeSignOffFile("f", file.Encode())
	is.NoErr(err)
	is.Equal(decoded, file)
	is.Equal(len(decoded.SignOffs()), 2)
	is.Equal(decoded.SignOffs()[1].Signer, "salma")
	is.Equal(len(file.Add(otherRaw, Sign(otherRaw, "noor", exampleKey("noor"))).SignOffs()), 1)
	_, err = DecodeSignOffFile("f", []byte("digest: x\nsign_offs:\n  - signer: a\n    signature: eA==\n"))
	is.True(reporter.HasCode(err, "wrong_form"))
}
