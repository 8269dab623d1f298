package command

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"

	"auburnladder.example/cli/console"
	"auburnladder.example/core/questionnaire"
	"auburnladder.example/core/yamlcheck"
)

const questionnairePattern = "*.yaml"

func registerQuestionnaire(app *kingpin.Application, c *console.Console) {
	group := app.Command("questionnaire", "Write and check questionnaires.")

	init := group.Command("init", "Write a commented questionnaire for a service.")
	service := init.Flag("service", "Name of the service.").Required().String()
	file := init.Arg("file", "File to write; it must not exist.").Required().String()
	init.Action(func(*kingpin.ParseContext) error { return initQuestionnaire(c, *service, *file) })

	check := group.Command("check", "Check all questionnaires of a deployment and print every error.")
	dir := check.Arg("directory", "Directory with one YAML file for each service.").Required().ExistingDir()
	check.Action(func(*kingpin.ParseContext) error { return checkQuestionnaires(c, *dir) })
}

func initQuestionnaire(c *console.Console, service, file string) error {
	text := questionnaire.Template(service)
	_, err := questionnaire.Parse([]questionnaire.File{{Name: file, Data: []byte(text)}})
	if err != nil {
		return fmt.Errorf("service %q: expected lower-case letters, digits and hyphens", service)
	}
	if err := writeNew(file, text, publicMode); err != nil {
		return err
	}
	c.Printf("wrote %s\n", file)
	return nil
}

func checkQuestionnaires(c *console.Console, dir string) error {
	files, err := readQuestionnaires(dir)
	if err != nil {
		return err
	}
	all, err := questionnaire.Parse(files)
	if err != nil {
		return asFailed(err)
	}
	c.Printf("%d questionnaires, no error\n", len(all))
	return nil
}

// asFailed turns errors in answers into a failed check.
func asFailed(err error) error {
	var fields yamlcheck.FieldErrors
	if errors.As(err, &fields) {
		return console.Failed("%w", err)
	}
	return err
}

// readQuestionnaires reads every YAML file of dir, in order of name.
func readQuestionnaires(dir string) ([]questionnaire.File, error) {
	paths, err := filepath.Glob(filepath.Join(dir, questionnairePattern))
	if err != nil {
		return nil, fmt.Errorf("questionnaires: %w", err)
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("questionnaires: no file %s in %s", questionnairePattern, dir)
	}
	files := make([]questionnaire.File, len(paths))
	for i, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("questionnaires: %w", err)
		}
		files[i] = questionnaire.File{Name: path, Data: data}
	}
	return files, nil
}
