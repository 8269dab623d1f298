package releasedir

import (
	"fmt"
	"os"
	"strings"

	"auburnladder.example/core/release"
)

// ReadTrust reads the trusted approval keys from a file with one public key
// "key-id:base64" on each line. Empty lines and lines that start with # are skipped.
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

// ReadKeyLines returns the lines of a key file, trimmed of white space, without empty
// lines and lines that start with #.
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
