package command

import (
	"fmt"
	"net/netip"

	"github.com/alecthomas/kingpin/v2"

	"auburnladder.example/cli/console"
	"auburnladder.example/cli/fleet"
	"auburnladder.example/cli/releasedir"
	"auburnladder.example/core/questionnaire"
	"auburnladder.example/core/release"
	"auburnladder.example/core/statusapi"
)

func registerFetch(app *kingpin.Application, c *console.Console) {
	cmd := app.Command("fetch", "Write the release in force on a node to a directory, as compile and approve would.")
	node := cmd.Flag("node", "Admin address ip:port of the node.").Required().String()
	out := cmd.Flag("out", "Directory to write; it must not hold a release.").Required().String()
	cmd.Action(func(*kingpin.ParseContext) error { return fetch(c, *node, *out) })
}

func fetch(c *console.Console, node, out string) error {
	addr, err := netip.ParseAddrPort(node)
	if err != nil {
		return fmt.Errorf("--node: found %q, expected ip:port", node)
	}
	var config statusapi.Config
	if err := fleet.NewClient(fleet.DefaultConfig()).Get(addr, statusapi.ConfigPath, &config); err != nil {
		return console.Failed("%w", err)
	}
	r, approved, err := rebuildRelease(&config)
	if err != nil {
		return console.Failed("node %s: %w", config.VM, err)
	}
	if err := releasedir.Write(out, r); err != nil {
		return err
	}
	dir, err := releasedir.Read(out)
	if err != nil {
		return err
	}
	if err := dir.WriteApproved(approved); err != nil {
		return err
	}
	c.Printf("release %s from node %s in %s; its approval is not checked yet, see verify\n", r.Version, config.VM, out)
	return nil
}

// rebuildRelease returns the release that config describes, with its approvals. It
// encodes the chunks from the services and fails if they do not match the digests in
// the manifest. It does not verify the approvals.
func rebuildRelease(config *statusapi.Config) (*questionnaire.Release, *release.Approved, error) {
	approved, err := release.ParseApproved(config.Approved)
	if err != nil {
		return nil, nil, err
	}
	manifest, err := release.ParseManifest(approved.Manifest)
	if err != nil {
		return nil, nil, err
	}
	r := &questionnaire.Release{
		Version:  release.Version{Sequence: manifest.Sequence, Digest: release.DigestOf(approved.Manifest)},
		Manifest: manifest,
		Encoded:  approved.Manifest,
	}
	for _, svc := range config.Services {
		data, err := svc.Encode()
		if err != nil {
			return nil, nil, err
		}
		ref := release.ChunkRef{Name: svc.Name, Digest: release.DigestOf(data), Size: len(data)}
		r.Chunks = append(r.Chunks, questionnaire.Chunk{Ref: ref, Data: data})
	}
	if _, err := r.Snapshot(); err != nil {
		return nil, nil, err
	}
	return r, approved, nil
}
