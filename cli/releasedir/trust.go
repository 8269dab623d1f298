package releasedir

import (
	"fmt"
	"os"
	"strings"

	"auburnladder.example/core/release"
)

// ReadTrust reads public keys from a file: one "key-id:base64" on each line; empty
// lines and lines that start with # are skipped.
func ReadTrust(path string) (*release.Trust, error) {
	lines, err := ReadKeyLines(path)
	if err != nil {
		return nil, err
	}
	trust, err := release.NewTrust(lines)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return trust, nil
}

// ReadKeyLines returns the lines of a key file without comments and empty lines.
func ReadKeyLines(path string) ([]string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	var keys []string
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if line != "" && !strings.HasPrefix(line, "#") {
			keys = append(keys, line)
		}
	}
	return keys, nil
}
