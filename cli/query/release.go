package query

import (
	"github.com/alecthomas/kingpin/v2"

	"auburnladder.example/cli/console"
	"auburnladder.example/cli/releasedir"
	"auburnladder.example/core/questionnaire"
	"auburnladder.example/core/release"
)

func registerVerify(app *kingpin.Application, c *console.Console) {
	cmd := app.Command("verify", "Check that a release is complete, valid and approved by a trusted key.")
	trust := cmd.Flag("trust", "File with the trusted public keys, one key-id:base64 on each line.").Required().ExistingFile()
	format := console.FormatFlag(cmd)
	dir := cmd.Arg("release", "Directory of the release.").Required().ExistingDir()
	cmd.Action(func(*kingpin.ParseContext) error { return verify(c, *trust, *dir, *format) })
}

// verifyResult is the JSON output of verify.
type verifyResult struct {
	Version    release.Version `json:"version"`
	Deployment string          `json:"deployment"`
	KeyID      string          `json:"key_id"`
	Services   []string        `json:"services"`
}

func verify(c *console.Console, trustFile, path, format string) error {
	trust, err := releasedir.ReadTrust(trustFile)
	if err != nil {
		return err
	}
	dir, err := releasedir.Read(path)
	if err != nil {
		return err
	}
	snapshot, err := dir.Verify(trust)
	if err != nil {
		return console.Failed("%w", err)
	}
	result := verifyResult{Version: dir.Version, Deployment: dir.Manifest.Deployment, KeyID: snapshot.KeyID}
	for _, s := range snapshot.Services() {
		result.Services = append(result.Services, s.Name)
	}
	if format == console.FormatJSON {
		return c.JSON(result)
	}
	c.Printf("release %s of %s: valid, approved with key %s, %d services\n",
		result.Version, result.Deployment, result.KeyID, len(result.Services))
	return nil
}

func registerDiff(app *kingpin.Application, c *console.Console) {
	cmd := app.Command("diff", "Show which answers differ between two releases.")
	format := console.FormatFlag(cmd)
	before := cmd.Arg("before", "Directory of a release.").Required().ExistingDir()
	after := cmd.Arg("after", "Directory of another release.").Required().ExistingDir()
	cmd.Action(func(*kingpin.ParseContext) error { return diff(c, *before, *after, *format) })
}

// diffResult is the JSON output of diff.
type diffResult struct {
	Before  release.Version        `json:"before"`
	After   release.Version        `json:"after"`
	Changes []questionnaire.Change `json:"changes"`
}

func diff(c *console.Console, before, after, format string) error {
	a, err := releasedir.Read(before)
	if err != nil {
		return err
	}
	b, err := releasedir.Read(after)
	if err != nil {
		return err
	}
	changes, err := changesBetween(a, b)
	if err != nil {
		return err
	}
	if format == console.FormatJSON {
		return c.JSON(diffResult{Before: a.Version, After: b.Version, Changes: changes})
	}
	c.Printf("%s -> %s: %d answers differ\n", a.Version, b.Version, len(changes))
	t := newTable(c.Out, "SERVICE", "ANSWER", "BEFORE", "AFTER")
	for _, ch := range changes {
		t.addRow(ch.Service, orDash(ch.Answer), orDash(ch.Before), orDash(ch.After))
	}
	return t.flush()
}

// changesBetween returns the answers that differ. The slice is never nil, so that
// JSON output has an empty array instead of null.
func changesBetween(a, b *releasedir.Dir) ([]questionnaire.Change, error) {
	before, err := a.Snapshot()
	if err != nil {
		return nil, err
	}
	after, err := b.Snapshot()
	if err != nil {
		return nil, err
	}
	return append([]questionnaire.Change{}, questionnaire.Diff(before, after)...), nil
}
