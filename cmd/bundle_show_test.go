package cmd

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestBundleShowFailsOnEmptyStore(t *testing.T) {
	is := is.New(t)
	code, out := newBundleFixture(t).runWithStore("show")
	is.Equal(code, ExitFailure)
	is.True(strings.Contains(out, "no bundle is published"))
}
