package parser

import (
	"io"
	"os"

	"github.com/pkg/errors"
)

// ReadFile reads a document from path. It stops one byte after MaxBytes, which is enough for Parse to report a larger
// file as too_large.
func ReadFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer file.Close()
	raw, err := io.ReadAll(io.LimitReader(file, MaxBytes+1))
	return raw, errors.Wrap(err, path)
}
