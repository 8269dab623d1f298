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

// questionnairePattern matches the questionnaires in a directory. Other files, *.yml
// included, are ignored.
const questionnairePattern = "*.yaml"

func registerQuestionnaire(app *kingpin.Application, c *console.Console) {
	group := app.Command("questionnaire", "Write and check questionnaires.")

	initCmd := group.Command("init", "Write a commented questionnaire for a service.")
	service := initCmd.Flag("service", "Name of the service.").Default("my-service").String()
	file := initCmd.Arg("file", "File to write, which must not exist; the standard output if left out.").String()
	initCmd.Action(func(*kingpin.ParseContext) error { return initQuestionnaire(c, *service, *file) })

	checkCmd := group.Command("check", "Check all questionnaires of a deployment together and print every error.")
	paths := checkCmd.Arg("path", "Directories with one YAML file for each service, or files.").Required().ExistingFilesOrDirs()
	checkCmd.Action(func(*kingpin.ParseContext) error { return checkQuestionnaires(c, *paths) })
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
	if err := writeNewFile(file, text, publicFileMode); err != nil {
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
		return asFailedCheck(err)
	}
	c.Printf("%d questionnaires, no error\n", len(all))
	return nil
}

// asFailedCheck wraps field errors of questionnaires in a console.FailedError, for
// exit code 1, and returns other errors unchanged.
func asFailedCheck(err error) error {
	var fields yamlcheck.FieldErrors
	if errors.As(err, &fields) {
		return console.Failed("%w", err)
	}
	return err
}

// readQuestionnaires reads the files in paths and, sorted by name, the *.yaml files
// of the directories in paths.
func readQuestionnaires(paths ...string) ([]questionnaire.File, error) {
	var files []questionnaire.File
	for _, path := range paths {
		names, err := questionnaireFiles(path)
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

// questionnaireFiles returns path itself if it is a file, and else the *.yaml files
// in it. A directory without any is an error.
func questionnaireFiles(path string) ([]string, error) {
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
