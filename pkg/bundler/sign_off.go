package bundler

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/binary"
	"strconv"

	"github.com/wasabibank/wasabibank/pkg/reporter"
)

// signingContext is the domain separator: a signature of a bundle is not valid for any other use of the key.
const signingContext = "wasabibank bundle sign-off v1\x00"

// SignOff is one person's signature of a bundle, as it is encoded in JSON and YAML.
type SignOff struct {
	// Signer is the person's name in the list of signers.
	Signer string `json:"signer" yaml:"signer"`
	// Signature is the Ed25519 signature, 64 bytes.
	Signature []byte `json:"signature" yaml:"signature"`
}

// Signed is a bundle as the operators wrote it, with its signatures, as it is encoded in JSON.
type Signed struct {
	// Raw is the YAML. The signatures cover every byte of it.
	Raw []byte `json:"raw"`
	// SignOffs are the signatures of author and approver, in any order.
	SignOffs []SignOff `json:"sign_offs"`
}

// Sign signs the bundle raw with key and returns the SignOff under the name signer.
func Sign(raw []byte, signer string, key ed25519.PrivateKey) SignOff {
	return SignOff{Signer: signer, Signature: ed25519.Sign(key, signingMessage(raw, signer))}
}

// signingMessage returns the message that is signed: signingContext, the length of the signer's name as a big-endian
// uint32, the name, and the SHA-256 of raw. So a signature is bound to its use, its signer and the bundle.
func signingMessage(raw []byte, signer string) []byte {
	digest := sha256.Sum256(raw)
	message := []byte(signingContext)
	message = binary.BigEndian.AppendUint32(message, uint32(len(signer)))
	message = append(message, signer...)
	return append(message, digest[:]...)
}

// Decode decodes and validates the bundle as the function Decode does. Findings name file as their file. It verifies no
// signature.
func (s Signed) Decode(file string) (*Bundle, error) { return Decode(file, s.Raw) }

// VerifyAgainst decodes and validates the bundle, and checks that author and approver are among trusted, that their names
// and public keys differ, and that the bundle has exactly one valid signature of each. For version 1, trusted are the
// initial signers, whom the operators agreed on; for later versions, the signers of the parent. The error is a
// reporter.ErrFindings, whose findings name bundle as their file.
func (s Signed) VerifyAgainst(trusted []Signer) error {
	const file = "bundle"
	bundle, err := s.Decode(file)
	if err != nil {
		return err
	}
	var findings reporter.Findings
	add := func(code reporter.Code, message, expected string) {
		findings.Add(reporter.NewFinding(bundle.places.version, code, message, expected))
	}
	s.checkSignOffCount(add)
	author := s.verifySigner(bundle.author, trusted, add)
	approver := s.verifySigner(bundle.approver, trusted, add)
	if bundle.author == bundle.approver {
		add("self_sign_off", "author and approver are both "+strconv.Quote(bundle.author), "two different signers")
	}
	if author != nil && author.Equal(approver) {
		add("self_sign_off", "author and approver sign with the same key", "two different keys")
	}
	return findings.Err()
}

// addFinding adds a finding at a place that is fixed when the function is created.
type addFinding func(code reporter.Code, message, expected string)

// signOffsPerBundle is the number of signatures of a bundle: the author's and the approver's.
const signOffsPerBundle = 2

func (s Signed) checkSignOffCount(add addFinding) {
	if len(s.SignOffs) != signOffsPerBundle {
		add("sign_off_count", strconv.Itoa(len(s.SignOffs))+" sign-offs", "one by the author and one by the approver")
	}
}

// verifySigner returns the public key of the signer name if the bundle has a valid signature of that signer. Otherwise
// it adds a finding and returns nil.
func (s Signed) verifySigner(name string, trusted []Signer, add addFinding) ed25519.PublicKey {
	key, ok := publicKeyOf(name, trusted)
	if !ok {
		add("unknown_signer", strconv.Quote(name)+" may not sign this version",
			"a signer listed in the previous version, or for version 1 an initial signer")
		return nil
	}
	for _, signOff := range s.SignOffs {
		if signOff.Signer != name {
			continue
		}
		if ed25519.Verify(key, signingMessage(s.Raw, name), signOff.Signature) {
			return key
		}
		add("wrong_signature", "the signature of "+strconv.Quote(name)+" does not match this bundle", "a new sign-off")
		return nil
	}
	add("missing_sign_off", "no sign-off by "+strconv.Quote(name), "a sign-off by this signer")
	return nil
}

// publicKeyOf returns the public key of the signer name, and whether it is among trusted with a key of the right length.
func publicKeyOf(name string, trusted []Signer) (ed25519.PublicKey, bool) {
	for _, signer := range trusted {
		if signer.name == name && len(signer.publicKey) == ed25519.PublicKeySize {
			return signer.publicKey, true
		}
	}
	return nil, false
}
