package command

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"auburnladder.example/cli/console"
	"auburnladder.example/cli/releasedir"
	"auburnladder.example/core/release"
)

const (
	privateFileMode = 0o600
	publicFileMode  = 0o644
	publicKeySuffix = ".pub"
)

func registerKeygen(app *kingpin.Application, c *console.Console) {
	cmd := app.Command("keygen", "Generate an Ed25519 key that approves releases or identifies a node.")
	id := cmd.Flag("id", "Name of the key.").Required().String()
	out := cmd.Flag("out", "File for the private key; FILE.pub gets the public key. Neither may exist.").Required().String()
	cmd.Action(func(*kingpin.ParseContext) error { return keygen(c, *id, *out) })
}

// keygen writes the public key first and removes it if the private key can't be
// written. It overwrites neither file.
func keygen(c *console.Console, id, out string) error {
	key, err := release.GenerateKey(id)
	if err != nil {
		return err
	}
	if err := writeNewFile(out+publicKeySuffix, key.Public()+"\n", publicFileMode); err != nil {
		return err
	}
	if err := writeNewFile(out, key.Private()+"\n", privateFileMode); err != nil {
		os.Remove(out + publicKeySuffix)
		return err
	}
	c.Printf("wrote %s and %s%s\n", out, out, publicKeySuffix)
	return nil
}

// writeNewFile creates the file and fails if it exists.
func writeNewFile(path, text string, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return fmt.Errorf("write: %w", err)
	}
	if _, err := f.WriteString(text); err != nil {
		f.Close()
		return fmt.Errorf("write: %w", err)
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

func registerApprove(app *kingpin.Application, c *console.Console) {
	cmd := app.Command("approve", "Sign a release; only complete and valid releases are signed.")
	key := cmd.Flag("key", "File with the private key.").Required().ExistingFile()
	dir := cmd.Arg("release", "Directory of the release.").Required().ExistingDir()
	cmd.Action(func(*kingpin.ParseContext) error { return approve(c, *key, *dir) })
}

// approve adds the key's approval to those that the release already has. A release
// that nodes would refuse as invalid is not signed.
func approve(c *console.Console, keyFile, path string) error {
	text, err := os.ReadFile(keyFile)
	if err != nil {
		return fmt.Errorf("key: %w", err)
	}
	key, err := release.ParseSigningKey(string(text))
	if err != nil {
		return err
	}
	dir, err := releasedir.Read(path)
	if err != nil {
		return err
	}
	if _, err := dir.Snapshot(); err != nil {
		return console.Failed("release %s is not valid: %w", dir.Version, err)
	}
	approved, err := currentApprovals(dir)
	if err != nil {
		return err
	}
	if err := dir.WriteApproved(key.Approve(approved)); err != nil {
		return err
	}
	c.Printf("approved release %s with key %s: %s\n", dir.Version, key.ID, dir.ApprovedPath())
	return nil
}

// currentApprovals returns the manifest with the approvals stored in the directory,
// if any. It fails if they are for another release.
func currentApprovals(dir *releasedir.Dir) (*release.Approved, error) {
	if dir.Approved == nil {
		return &release.Approved{Manifest: dir.Encoded}, nil
	}
	approved, err := dir.Approved.Version()
	if err != nil {
		return nil, err
	}
	if approved != dir.Version {
		return nil, console.Failed("%s approves %s, not %s", dir.ApprovedPath(), approved, dir.Version)
	}
	return dir.Approved, nil
}
