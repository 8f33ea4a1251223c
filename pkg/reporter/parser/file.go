package parser

import (
	"io"
	"os"

	"github.com/pkg/errors"
)

// ReadFile reads a document from path. It reads at most one byte more than MaxBytes, so that Parse finds a larger file
// too large.
func ReadFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer file.Close()
	raw, err := io.ReadAll(io.LimitReader(file, MaxBytes+1))
	return raw, errors.Wrap(err, path)
}
