package bundler

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/wasabibank/wasabibank/pkg/reporter"
)

// FuzzDecode checks that every input gives either findings or a bundle with at least two signers, different author and
// approver, and valid routes, and never a panic. Review then gives only warnings with their place.
func FuzzDecode(f *testing.F) {
	for _, pattern := range []string{"*/bundle.yaml", "broken/*.yaml"} {
		files, err := filepath.Glob(filepath.Join(examplesDir, pattern))
		if err != nil {
			f.Fatal(err)
		}
		for _, file := range files {
			raw, err := os.ReadFile(file)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(raw)
		}
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		bundle, err := Decode("fuzz", raw)
		if err != nil {
			if bundle != nil || !reporter.IsErrFindings(err) || len(reporter.FindingsOf(err)) == 0 {
				t.Fatalf("neither a bundle nor findings: %v", err)
			}
			return
		}
		if bundle.Author() == bundle.Approver() || len(bundle.Signers()) < minSigners {
			t.Fatal("accepted a bundle without two different signers")
		}
		for _, route := range bundle.Routes() {
			if len(route.Services) == 0 || route.MaxAttempts < 1 || route.Objective > route.Timeout {
				t.Fatalf("accepted the invalid route %s", route.Name)
			}
		}
		for _, w := range Review(bundle, ReviewSettings{RequestBytes: 1}) {
			if w.Severity() != reporter.SeverityWarning || w.Place().Line() == 0 {
				t.Fatalf("not a warning with its place: %v", w)
			}
		}
	})
}

// FuzzDecodeSignOffFile checks that every input gives either a sign-off file or findings, and never a panic.
func FuzzDecodeSignOffFile(f *testing.F) {
	raw := []byte("name: x")
	f.Add(SignOffFile{}.Add(raw, Sign(raw, "salma", exampleKey("salma"))).Encode())
	f.Add([]byte("digest: x"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if _, err := DecodeSignOffFile("fuzz", raw); err != nil && !reporter.IsErrFindings(err) {
			t.Fatal(err)
		}
	})
}
