// Package releasedir reads and writes the directory that holds one release on the
// operator's machine:
//
//	manifest.json           the bytes that are approved
//	chunks/<sha256>.json    one file for each chunk
//	approved.json           manifest with approvals, present once approved
package releasedir

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"auburnladder.example/core/mesh"
	"auburnladder.example/core/questionnaire"
	"auburnladder.example/core/release"
)

const (
	manifestFile = "manifest.json"
	approvedFile = "approved.json"
	chunkDir     = "chunks"
	fileMode     = 0o644
	dirMode      = 0o755
)

// Dir is a release that was read from a directory. Its signatures are unchecked.
type Dir struct {
	Path     string
	Version  release.Version
	Manifest *release.Manifest
	Encoded  []byte
	// Approved is nil if nobody has approved the release.
	Approved *release.Approved
	chunks   map[release.Digest][]byte
}

// Read reads the release in path. Missing chunks show when the snapshot is built.
func Read(path string) (*Dir, error) {
	encoded, err := os.ReadFile(filepath.Join(path, manifestFile))
	if err != nil {
		return nil, fmt.Errorf("release: %w", err)
	}
	manifest, err := release.ParseManifest(encoded)
	if err != nil {
		return nil, fmt.Errorf("release %s: %w", path, err)
	}
	d := &Dir{
		Path:     path,
		Version:  release.Version{Sequence: manifest.Sequence, Digest: release.DigestOf(encoded)},
		Manifest: manifest,
		Encoded:  encoded,
		chunks:   make(map[release.Digest][]byte, len(manifest.Chunks)),
	}
	if err := d.readChunks(); err != nil {
		return nil, err
	}
	return d, d.readApproved()
}

func (d *Dir) readChunks() error {
	for _, ref := range d.Manifest.Chunks {
		data, err := os.ReadFile(chunkPath(d.Path, ref.Digest))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return fmt.Errorf("release: %w", err)
		}
		d.chunks[ref.Digest] = data
	}
	return nil
}

func (d *Dir) readApproved() error {
	data, err := os.ReadFile(filepath.Join(d.Path, approvedFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("release: %w", err)
	}
	d.Approved, err = release.ParseApproved(data)
	if err != nil {
		return fmt.Errorf("release %s: %w", d.Path, err)
	}
	return nil
}

// Snapshot builds the snapshot that nodes build, whether approved or not.
func (d *Dir) Snapshot() (*mesh.Snapshot, error) {
	unapproved := &release.Verified{Version: d.Version, Manifest: d.Manifest}
	return d.build(unapproved)
}

// Verify checks the approval against trust and builds the snapshot.
func (d *Dir) Verify(trust *release.Trust) (*mesh.Snapshot, error) {
	if d.Approved == nil {
		return nil, fmt.Errorf("release %s: nobody has approved it", d.Version)
	}
	verified, err := trust.Verify(d.Approved)
	if err != nil {
		return nil, err
	}
	if verified.Version != d.Version {
		return nil, fmt.Errorf("release %s: the approval is for %s", d.Version, verified.Version)
	}
	return d.build(verified)
}

func (d *Dir) build(v *release.Verified) (*mesh.Snapshot, error) {
	return mesh.Build(v, func(digest release.Digest) ([]byte, bool) {
		data, found := d.chunks[digest]
		return data, found
	})
}

// Write writes r to path. It refuses a path that holds a release already. The
// manifest is written last.
func Write(path string, r *questionnaire.Release) error {
	if _, err := os.Stat(filepath.Join(path, manifestFile)); err == nil {
		return fmt.Errorf("release: %s holds a release already", path)
	}
	if err := os.MkdirAll(filepath.Join(path, chunkDir), dirMode); err != nil {
		return fmt.Errorf("release: %w", err)
	}
	for _, c := range r.Chunks {
		if err := os.WriteFile(chunkPath(path, c.Ref.Digest), c.Data, fileMode); err != nil {
			return fmt.Errorf("release: %w", err)
		}
	}
	if err := os.WriteFile(filepath.Join(path, manifestFile), r.Encoded, fileMode); err != nil {
		return fmt.Errorf("release: %w", err)
	}
	return nil
}

// WriteApproved writes the approved manifest and replaces an earlier one whole.
func (d *Dir) WriteApproved(a *release.Approved) error {
	data, err := a.Encode()
	if err != nil {
		return fmt.Errorf("release: %w", err)
	}
	path := filepath.Join(d.Path, approvedFile)
	if err := os.WriteFile(path+".new", data, fileMode); err != nil {
		return fmt.Errorf("release: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("release: %w", err)
	}
	return nil
}

// ApprovedPath returns where the approved manifest stands.
func (d *Dir) ApprovedPath() string {
	return filepath.Join(d.Path, approvedFile)
}

func chunkPath(path string, d release.Digest) string {
	return filepath.Join(path, chunkDir, d.String()+".json")
}
