package bundler

import (
	"crypto/ed25519"
	"encoding/base64"
	"strconv"

	"github.com/wasabibank/wasabibank/pkg/reporter/parser"
)

// Bounds of the list of signers. There are at least two, as one person writes a bundle and another approves it.
const (
	minSigners = 2
	maxSigners = 256
)

// ReadSigners reads a list of signers, each with a name and a public_key in base64. It is a finding if there are fewer
// than two or more than 256, or if two of them have the same name or key.
func ReadSigners(list parser.Value) []Signer {
	var signers []Signer
	names := uniqueSet[string]{code: "doubled_signer"}
	keys := uniqueSet[string]{code: "doubled_public_key"}
	for _, item := range list.Items(minSigners, maxSigners) {
		m := item.Mapping("name", "public_key")
		name, key := m.Required("name"), m.Required("public_key")
		signer := Signer{name: name.Match(signerNamePattern, signerNameDescription), publicKey: readPublicKey(key)}
		newName := names.add(name, signer.name)
		keys.add(key, base64.StdEncoding.EncodeToString(signer.publicKey))
		if newName {
			signers = append(signers, signer)
		}
	}
	return signers
}

func readPublicKey(value parser.Value) ed25519.PublicKey {
	text := value.Text()
	if text == "" {
		return nil
	}
	key, err := base64.StdEncoding.Strict().DecodeString(text)
	if err != nil || len(key) != ed25519.PublicKeySize {
		value.Report("wrong_form", "found "+strconv.Quote(text), "an Ed25519 public key, 32 bytes in base64")
		return nil
	}
	return key
}
