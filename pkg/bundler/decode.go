package bundler

import (
	"crypto/sha256"
	"encoding/hex"
	"regexp"
	"slices"
	"strconv"

	"github.com/wasabibank/wasabibank/pkg/reporter"
	"github.com/wasabibank/wasabibank/pkg/reporter/parser"
)

// Patterns of names and digests.
var (
	snakeNamePattern  = regexp.MustCompile(`^[a-z][a-z0-9_]{0,62}$`)
	signerNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.:-]{0,126}$`)
	hexDigestPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Descriptions of these patterns in findings.
const (
	snakeNameDescription  = "a name in snake case of at most 63 characters"
	signerNameDescription = "letters, digits and _ . : -, at most 127 characters"
	hexDigestDescription  = "64 hexadecimal digits in lower case, in quotes"
)

// maxVersion is the largest version: stored versions have eight hexadecimal digits, so that they sort as text.
const maxVersion = 1<<32 - 1

// Digest returns the hexadecimal SHA-256 of raw, which identifies a bundle.
func Digest(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// Decode decodes and validates the YAML raw. Findings name file as their file. If there are findings, the bundle is nil
// and the error is a reporter.ErrFindings with all of them.
func Decode(file string, raw []byte) (*Bundle, error) {
	var findings reporter.Findings
	root, ok := parser.Parse(file, raw, &findings)
	if !ok {
		return nil, findings.Err()
	}
	bundle := readBundle(root)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	bundle.raw = slices.Clone(raw)
	bundle.digest = Digest(raw)
	return bundle, nil
}

func readBundle(root parser.Value) *Bundle {
	m := root.Mapping("name", "version", "parent_version", "parent_digest", "author", "approver", "signers",
		"limits", "services", "routes")
	b := &Bundle{places: placesOf(m)}
	b.name = m.Required("name").Match(snakeNamePattern, snakeNameDescription)
	b.readLineage(m)
	b.readSignerFields(m)
	b.readLimits(m.Required("limits"))
	b.readServices(m.Required("services"))
	b.readRoutes(m.Required("routes"))
	return b
}

// placesOf returns the places in the bundle m, without those of services, routes and limits, which are added when these are read.
func placesOf(m parser.Mapping) places {
	return places{
		name:          m.Optional("name").Place(),
		version:       m.Optional("version").Place(),
		parentVersion: m.Optional("parent_version").Place(),
		parentDigest:  m.Optional("parent_digest").Place(),
		keyed:         map[string]reporter.Place{},
		services:      map[string]reporter.Place{},
		routes:        map[string]routePlaces{},
	}
}

// readLineage reads the version, and the version and digest of its parent.
func (b *Bundle) readLineage(m parser.Mapping) {
	b.version = uint64(m.Required("version").Int(1, maxVersion))
	parent, digest := m.Optional("parent_version"), m.Optional("parent_digest")
	if b.version == 0 {
		return
	}
	if b.version == 1 {
		const noParent = "no parent for version 1"
		parent.Report("parent_refused", "version 1 names a parent version", noParent)
		digest.Report("parent_refused", "version 1 names a parent digest", noParent)
		return
	}
	parent, digest = m.Required("parent_version"), m.Required("parent_digest")
	b.parentVersion = uint64(parent.Int(1, maxVersion))
	b.parentDigest = digest.Match(hexDigestPattern, hexDigestDescription)
	if b.parentVersion != 0 && b.parentVersion != b.version-1 {
		parent.Report("wrong_parent",
			"version "+strconv.FormatUint(b.version, 10)+" names parent version "+strconv.FormatUint(b.parentVersion, 10),
			strconv.FormatUint(b.version-1, 10))
	}
}

// readSignerFields reads the signers, and the author and approver, who must be two different signers.
func (b *Bundle) readSignerFields(m parser.Mapping) {
	author, approver := m.Required("author"), m.Required("approver")
	b.author = author.Match(signerNamePattern, signerNameDescription)
	b.approver = approver.Match(signerNamePattern, signerNameDescription)
	b.signers = ReadSigners(m.Required("signers"))
	if b.author != "" && b.author == b.approver {
		approver.Report("self_sign_off", "author and approver are both "+strconv.Quote(b.author), "two different signers")
	}
	b.checkSigner(author, b.author)
	b.checkSigner(approver, b.approver)
}

// checkSigner adds a finding if name is not empty and not among the signers.
func (b *Bundle) checkSigner(value parser.Value, name string) {
	if name == "" || slices.ContainsFunc(b.signers, func(s Signer) bool { return s.name == name }) {
		return
	}
	value.Report("unknown_signer", strconv.Quote(name)+" is not among the signers", "the name of a signer")
}

// uniqueSet holds the values of a list that must differ, and reports duplicates.
type uniqueSet[T ~string] struct {
	code   reporter.Code // of the finding for a duplicate
	places map[T]reporter.Place
}

// add adds key, or reports value if key is already in the set. It returns true if key is new and not empty.
func (u *uniqueSet[T]) add(value parser.Value, key T) bool {
	if key == "" {
		return false
	}
	if first, duplicate := u.places[key]; duplicate {
		value.Report(u.code, strconv.Quote(string(key))+" already appears at line "+strconv.Itoa(first.Line()),
			"each value only once")
		return false
	}
	if u.places == nil {
		u.places = map[T]reporter.Place{}
	}
	u.places[key] = value.Place()
	return true
}
