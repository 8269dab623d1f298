package command

import (
	"cmp"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"auburnladder.example/cli/console"
	"auburnladder.example/cli/releasedir"
	"auburnladder.example/core/questionnaire"
	"auburnladder.example/core/release"
)

// defaultDeployment is the deployment of a release compiled without --deployment and
// --base.
const defaultDeployment = "default"

type compileFlags struct {
	questionnaires string
	base           string
	deployment     string
	out            string
}

func registerCompile(app *kingpin.Application, c *console.Console) {
	var f compileFlags
	cmd := app.Command("compile", "Compile all questionnaires of a deployment into a release.")
	cmd.Flag("questionnaires", "Directory with one YAML file for each service.").Required().ExistingDirVar(&f.questionnaires)
	cmd.Flag("base", "Directory of the release that the new one follows; left out for the first.").ExistingDirVar(&f.base)
	cmd.Flag("deployment", "Name of the deployment; that of --base, or default, if left out.").StringVar(&f.deployment)
	cmd.Flag("out", "Directory to write; it must not hold a release.").Required().StringVar(&f.out)
	cmd.Action(func(*kingpin.ParseContext) error { return compile(c, f) })
}

func compile(c *console.Console, f compileFlags) error {
	files, err := readQuestionnaires(f.questionnaires)
	if err != nil {
		return err
	}
	all, err := questionnaire.Parse(files)
	if err != nil {
		return err
	}
	opts := questionnaire.Options{Deployment: f.deployment}
	if f.base == "" {
		opts.Deployment = cmp.Or(f.deployment, defaultDeployment)
	} else {
		base, err := releasedir.Read(f.base)
		if err != nil {
			return fmt.Errorf("base: %w", err)
		}
		opts.Base = base.Manifest
	}
	r, err := questionnaire.Compile(all, opts)
	if err != nil {
		return err
	}
	if err := releasedir.Write(f.out, r); err != nil {
		return err
	}
	c.Printf("release %s of %s in %s: %d services, %d changed\n",
		r.Version, r.Manifest.Deployment, f.out, len(r.Chunks), countChanged(r.Manifest, opts.Base))
	return nil
}

// countChanged counts the chunks of m that are new or differ from those of base. A
// nil base has no chunks.
func countChanged(m, base *release.Manifest) int {
	if base == nil {
		return len(m.Chunks)
	}
	changed := 0
	for _, c := range m.Chunks {
		if old, found := base.Chunk(c.Name); !found || old != c {
			changed++
		}
	}
	return changed
}
