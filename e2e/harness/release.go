package harness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Release is a compiled and approved release on disk.
type Release struct {
	Sequence uint64
	// Dir is the directory that the command "auburnladder compile" wrote.
	Dir            string
	questionnaires string
}

func (c *Cluster) keyFile() string {
	return filepath.Join(c.Dir, "approval.key")
}

func (c *Cluster) keygen() error {
	return c.cli("keygen", "--id", "e2e", "--out", c.keyFile())
}

// FirstRelease compiles the example questionnaires into release 1 and approves it.
func (c *Cluster) FirstRelease() (*Release, error) {
	r := &Release{
		Sequence:       1,
		Dir:            filepath.Join(c.Dir, "release-1"),
		questionnaires: filepath.Join(c.root, "examples/zaalwijzer/questionnaires"),
	}
	if err := c.cli("compile", "--questionnaires", r.questionnaires, "--deployment", "zaalwijzer", "--out", r.Dir); err != nil {
		return nil, err
	}
	return r, c.approve(r)
}

// Amend replaces the first occurrence of a text in the questionnaire of a service,
// compiles the questionnaires into the release that follows base, and approves it.
func (c *Cluster) Amend(base *Release, service, before, after string) (*Release, error) {
	r := &Release{Sequence: base.Sequence + 1}
	r.Dir = filepath.Join(c.Dir, fmt.Sprintf("release-%d", r.Sequence))
	r.questionnaires = filepath.Join(c.Dir, fmt.Sprintf("questionnaires-%d", r.Sequence))
	if err := os.CopyFS(r.questionnaires, os.DirFS(base.questionnaires)); err != nil {
		return nil, fmt.Errorf("amend: %w", err)
	}
	file := filepath.Join(r.questionnaires, service+".yaml")
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("amend: %w", err)
	}
	if !strings.Contains(string(text), before) {
		return nil, fmt.Errorf("amend: %s does not contain %q", file, before)
	}
	amended := strings.Replace(string(text), before, after, 1)
	if err := os.WriteFile(file, []byte(amended), 0o600); err != nil {
		return nil, fmt.Errorf("amend: %w", err)
	}
	if err := c.cli("compile", "--questionnaires", r.questionnaires, "--base", base.Dir, "--out", r.Dir); err != nil {
		return nil, err
	}
	return r, c.approve(r)
}

func (c *Cluster) approve(r *Release) error {
	return c.cli("approve", "--key", c.keyFile(), r.Dir)
}

// Publish publishes a release to the platform stand-in.
func (c *Cluster) Publish(r *Release) error {
	return run(c.root, filepath.Join("scripts", "publish"), c.platformURL(), r.Dir)
}

// AwaitAllReady waits until every node serves callers.
func (c *Cluster) AwaitAllReady() error {
	for _, vm := range c.VMs {
		if err := c.AwaitReady(vm); err != nil {
			return err
		}
	}
	return nil
}

// AwaitActive waits until every node holds the release.
func (c *Cluster) AwaitActive(r *Release) error {
	return c.AwaitActiveOn(r, c.VMs)
}

// AwaitActiveOn waits until the nodes of the given VMs hold the release.
func (c *Cluster) AwaitActiveOn(r *Release, vms []*VM) error {
	for _, vm := range vms {
		err := Eventually(fmt.Sprintf("release %d is active on %s", r.Sequence, vm.ID), func() error {
			s, err := c.Status(vm)
			if err != nil {
				return err
			}
			if s.Held.Sequence != r.Sequence {
				return fmt.Errorf("node holds %s", s.Held)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// CLI runs the auburnladder command and returns its standard output. If the command
// fails, the error wraps an *exec.ExitError.
func (c *Cluster) CLI(args ...string) ([]byte, error) {
	cmd := exec.Command(filepath.Join(c.bin, "auburnladder"), args...)
	out, err := cmd.Output()
	if err != nil {
		return out, fmt.Errorf("auburnladder %s: %w", args[0], err)
	}
	return out, nil
}

func (c *Cluster) cli(args ...string) error {
	return run(c.root, filepath.Join(c.bin, "auburnladder"), args...)
}

func run(dir, name string, args ...string) error {
	cmd := exec.Command(name, args...)
	cmd.Dir = dir
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("%s %s: %w: %s", filepath.Base(name), strings.Join(args, " "), err, out)
	}
	return nil
}
