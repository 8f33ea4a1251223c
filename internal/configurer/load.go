package configurer

import (
	"context"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/pkg/reporter"
	"github.com/wasabibank/wasabibank/pkg/reporter/parser"
)

// Load reads the settings at path, checks them whole and checks that the files they name can be opened. Paths of files
// that are not absolute start at the directory of path. The error is a reporter.ErrFindings, or one of reading path.
func Load(ctx context.Context, path string) (*Settings, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrap(err, "load settings")
	}
	raw, err := parser.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "load settings")
	}
	settings, files, err := decode(path, raw)
	if err != nil {
		return nil, err
	}
	settings.resolveFiles(filepath.Dir(path))
	if err := settings.checkFiles(files); err != nil {
		return nil, err
	}
	return settings, nil
}

func (s *Settings) resolveFiles(directory string) {
	mutual, ok := s.peerSecurity.(MutualTLS)
	if !ok {
		return
	}
	for _, path := range []*string{&mutual.certificateFile, &mutual.keyFile, &mutual.authorityFile} {
		if !filepath.IsAbs(*path) {
			*path = filepath.Join(directory, *path)
		}
	}
	s.peerSecurity = mutual
}

// checkFiles reports, at their values, the files that can't be opened.
func (s *Settings) checkFiles(values []parser.Value) error {
	mutual, ok := s.peerSecurity.(MutualTLS)
	if !ok {
		return nil
	}
	var findings reporter.Findings
	for i, path := range []string{mutual.certificateFile, mutual.keyFile, mutual.authorityFile} {
		file, err := os.Open(path)
		if err != nil {
			findings.Add(reporter.NewFinding(values[i].Place(), "unreadable_file", err.Error(), "a file that can be read"))
			continue
		}
		file.Close()
	}
	return findings.Err()
}
