package leaser

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the size of the property tests; the flags of rapid override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.steps": "100"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
