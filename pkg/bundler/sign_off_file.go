package bundler

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"slices"
	"strings"

	"github.com/wasabibank/wasabibank/pkg/reporter"
	"github.com/wasabibank/wasabibank/pkg/reporter/parser"
)

// SignOffFile is the file next to a bundle that collects its sign-offs until it is published. All sign-offs are for one
// digest. The zero SignOffFile has none.
type SignOffFile struct {
	digest   string
	signOffs []SignOff
}

// Digest returns the digest of the bundle that the sign-offs are for, or "" if there are none.
func (f SignOffFile) Digest() string { return f.digest }

// SignOffs returns the sign-offs in the order in which they were added.
func (f SignOffFile) SignOffs() []SignOff { return slices.Clone(f.signOffs) }

// Add returns the file with a sign-off of the bundle raw added. It drops an earlier sign-off by the same signer, and all
// earlier ones if they are for a bundle with another digest.
func (f SignOffFile) Add(raw []byte, signOff SignOff) SignOffFile {
	next := SignOffFile{digest: Digest(raw)}
	if f.digest == next.digest {
		next.signOffs = slices.DeleteFunc(f.SignOffs(), func(s SignOff) bool { return s.Signer == signOff.Signer })
	}
	next.signOffs = append(next.signOffs, signOff)
	return next
}

// Encode encodes the file as YAML.
func (f SignOffFile) Encode() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "# Sign-offs of one bundle, made by `wasabibank bundle sign`.\ndigest: %q\nsign_offs:\n", f.digest)
	for _, s := range f.signOffs {
		fmt.Fprintf(&b, "  - signer: %s\n    signature: %s\n", s.Signer, base64.StdEncoding.EncodeToString(s.Signature))
	}
	return []byte(b.String())
}

// DecodeSignOffFile decodes and validates the YAML raw. Findings name file as their file. It verifies no signature.
// The error is a reporter.ErrFindings.
func DecodeSignOffFile(file string, raw []byte) (SignOffFile, error) {
	var findings reporter.Findings
	root, ok := parser.Parse(file, raw, &findings)
	if !ok {
		return SignOffFile{}, findings.Err()
	}
	m := root.Mapping("digest", "sign_offs")
	result := SignOffFile{digest: m.Required("digest").Match(hexDigestPattern, hexDigestDescription)}
	seen := uniqueSet[string]{code: "doubled_signer"}
	for _, item := range m.Required("sign_offs").Items(1, signOffsPerBundle) {
		entry := item.Mapping("signer", "signature")
		signer := entry.Required("signer")
		signOff := SignOff{
			Signer:    signer.Match(signerNamePattern, signerNameDescription),
			Signature: readSignature(entry.Required("signature")),
		}
		seen.add(signer, signOff.Signer)
		result.signOffs = append(result.signOffs, signOff)
	}
	if err := findings.Err(); err != nil {
		return SignOffFile{}, err
	}
	return result, nil
}

func readSignature(value parser.Value) []byte {
	text := value.Text()
	if text == "" {
		return nil
	}
	signature, err := base64.StdEncoding.Strict().DecodeString(text)
	if err != nil || len(signature) != ed25519.SignatureSize {
		value.Report("wrong_form", "found text that is not a signature", "an Ed25519 signature, 64 bytes in base64")
		return nil
	}
	return signature
}
