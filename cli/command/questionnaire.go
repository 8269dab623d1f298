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
	service := init.Flag("service", "Name of the service.").Default("my-service").String()
	file := init.Arg("file", "File to write, which must not exist; the standard output if left out.").String()
	init.Action(func(*kingpin.ParseContext) error { return initQuestionnaire(c, *service, *file) })

	check := group.Command("check", "Check all questionnaires of a deployment together and print every error.")
	paths := check.Arg("path", "Directories with one YAML file for each service, or files.").Required().ExistingFilesOrDirs()
	check.Action(func(*kingpin.ParseContext) error { return checkQuestionnaires(c, *paths) })
}

func initQuestionnaire(c *console.Console, service, file string) error {
	text := questionnaire.Template(service)
	_, err := questionnaire.Parse([]questionnaire.File{{Name: file, Data: []byte(text)}})
	if err != nil {
		return fmt.Errorf("service %q: expected lower-case letters, digits and hyphens", service)
	}
	if file == "" {
		c.Printf("%s", text)
		return nil
	}
	if err := writeNew(file, text, publicMode); err != nil {
		return err
	}
	c.Printf("wrote %s\n", file)
	return nil
}

func checkQuestionnaires(c *console.Console, paths []string) error {
	files, err := readQuestionnaires(paths...)
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

// readQuestionnaires reads the files in paths and every YAML file of the
// directories in paths, in order of name.
func readQuestionnaires(paths ...string) ([]questionnaire.File, error) {
	var files []questionnaire.File
	for _, path := range paths {
		names, err := namesIn(path)
		if err != nil {
			return nil, err
		}
		for _, name := range names {
			data, err := os.ReadFile(name)
			if err != nil {
				return nil, fmt.Errorf("questionnaires: %w", err)
			}
			files = append(files, questionnaire.File{Name: name, Data: data})
		}
	}
	return files, nil
}

func namesIn(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("questionnaires: %w", err)
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	names, err := filepath.Glob(filepath.Join(path, questionnairePattern))
	if err != nil {
		return nil, fmt.Errorf("questionnaires: %w", err)
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("questionnaires: no file %s in %s", questionnairePattern, path)
	}
	return names, nil
}
