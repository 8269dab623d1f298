// Package releasedir reads and writes the directory that holds one release on the
// operator's machine, and the files with trusted public keys. A release directory has
// these files:
//
//	manifest.json           the encoded manifest, which approvals sign
//	chunks/<sha256>.json    one file for each chunk
//	approved.json           the manifest with its approvals; missing before the first
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

// Dir is a release that was read from a directory. Its approvals are not verified;
// use Verify.
type Dir struct {
	// Path is the directory.
	Path     string
	Version  release.Version
	Manifest *release.Manifest
	// Encoded is the content of manifest.json. Version.Digest is its digest.
	Encoded []byte
	// Approved is nil if the directory has no approved.json.
	Approved *release.Approved
	// chunks holds the chunks of the manifest that the directory has.
	chunks map[release.Digest][]byte
}

// Read reads the release in the directory path. A missing chunk is no error here;
// Snapshot and Verify report it.
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

// Snapshot validates the release as nodes do and returns its snapshot. It does not
// verify approvals.
func (d *Dir) Snapshot() (*mesh.Snapshot, error) {
	unapproved := &release.Verified{Version: d.Version, Manifest: d.Manifest}
	return d.buildSnapshot(unapproved)
}

// Verify checks that the release has a valid approval by a key of trust, validates it
// as nodes do and returns its snapshot.
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
	return d.buildSnapshot(verified)
}

func (d *Dir) buildSnapshot(v *release.Verified) (*mesh.Snapshot, error) {
	return mesh.Build(v, func(digest release.Digest) ([]byte, bool) {
		data, found := d.chunks[digest]
		return data, found
	})
}

// Write writes r to the directory path and creates it if necessary. It returns an
// error if the directory already has a manifest. The manifest is written last, so that
// a failed Write before it leaves no release and can be repeated.
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

// WriteApproved writes approved.json. It writes a temporary file and renames it, so
// that an earlier approved.json is replaced atomically. d.Approved does not change.
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

// ApprovedPath returns the path of approved.json.
func (d *Dir) ApprovedPath() string {
	return filepath.Join(d.Path, approvedFile)
}

func chunkPath(path string, d release.Digest) string {
	return filepath.Join(path, chunkDir, d.String()+".json")
}
