package app

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"auburnladder.example/cli/console"
)

const examplesDir = "../../examples/zaalwijzer/questionnaires"

type result struct {
	code     int
	out, err string
}

// runCLI runs one command line in the test process. Exit does nothing.
func runCLI(args ...string) result {
	var out, errOut bytes.Buffer
	c := &console.Console{Out: &out, Err: &errOut, Now: time.Now, Exit: func(int) {}}
	code := Run(args, c)
	return result{code: code, out: out.String(), err: errOut.String()}
}

// workspace is a directory with two approved releases. The second one differs from the
// first in one answer.
type workspace struct {
	dir, first, second, key, trust string
}

func newWorkspace(t *testing.T) workspace {
	dir := t.TempDir()
	w := workspace{
		dir:    dir,
		first:  filepath.Join(dir, "1"),
		second: filepath.Join(dir, "2"),
		key:    filepath.Join(dir, "ops"),
		trust:  filepath.Join(dir, "ops.pub"),
	}
	amended := filepath.Join(dir, "questionnaires")
	So(os.CopyFS(amended, os.DirFS(examplesDir)), ShouldBeNil)
	replaceInFile(filepath.Join(amended, "programma.yaml"), "deadline: 800ms", "deadline: 900ms")
	for _, args := range [][]string{
		{"keygen", "--id", "ops", "--out", w.key},
		{"compile", "--questionnaires", examplesDir, "--deployment", "zaalwijzer", "--out", w.first},
		{"compile", "--questionnaires", amended, "--base", w.first, "--out", w.second},
		{"approve", "--key", w.key, w.first},
		{"approve", "--key", w.key, w.second},
	} {
		r := runCLI(args...)
		So(r.err, ShouldBeEmpty)
		So(r.code, ShouldEqual, console.ExitOK)
	}
	return w
}

// replaceInFile replaces the first occurrence of old, which must be in the file.
func replaceInFile(path, old, replacement string) {
	data, err := os.ReadFile(path)
	So(err, ShouldBeNil)
	So(string(data), ShouldContainSubstring, old)
	So(os.WriteFile(path, bytes.Replace(data, []byte(old), []byte(replacement), 1), 0o644), ShouldBeNil)
}

// Guards the operator's path from questionnaires to an approved release: a release that
// verify should accept is refused, a changed answer is not shown, or a key or a release
// is overwritten.
func TestFromQuestionnairesToApprovedRelease(t *testing.T) {
	Convey("Given two approved releases", t, func() {
		w := newWorkspace(t)

		Convey("verify accepts them and reports the version as JSON", func() {
			r := runCLI("verify", "--trust", w.trust, "--output", "json", w.second)
			So(r.code, ShouldEqual, console.ExitOK)
			var output struct {
				Version struct{ Sequence int }
				KeyID   string `json:"key_id"`
			}
			So(json.Unmarshal([]byte(r.out), &output), ShouldBeNil)
			So(output.Version.Sequence, ShouldEqual, 2)
			So(output.KeyID, ShouldEqual, "ops")
		})
		Convey("diff shows the changed answer with both values", func() {
			r := runCLI("diff", w.first, w.second)
			So(r.code, ShouldEqual, console.ExitOK)
			So(r.out, ShouldContainSubstring, "1 answers differ")
			So(strings.Join(strings.Fields(r.out), " "), ShouldContainSubstring, "programma routes[sessions].deadline 800ms 900ms")
		})
		Convey("the private key is readable only by its owner and is never overwritten", func() {
			info, err := os.Stat(w.key)
			So(err, ShouldBeNil)
			So(info.Mode().Perm(), ShouldEqual, os.FileMode(0o600))
			before, _ := os.ReadFile(w.key)
			So(runCLI("keygen", "--id", "ops", "--out", w.key).code, ShouldEqual, console.ExitUsage)
			after, _ := os.ReadFile(w.key)
			So(after, ShouldResemble, before)
		})
		Convey("during a key rotation, a release approved with both keys is valid with either", func() {
			key := filepath.Join(w.dir, "next")
			So(runCLI("keygen", "--id", "next", "--out", key).code, ShouldEqual, console.ExitOK)
			So(runCLI("verify", "--trust", key+".pub", w.second).code, ShouldEqual, console.ExitFailed)
			So(runCLI("approve", "--key", key, w.second).code, ShouldEqual, console.ExitOK)
			So(runCLI("verify", "--trust", key+".pub", w.second).code, ShouldEqual, console.ExitOK)
			So(runCLI("verify", "--trust", w.trust, w.second).code, ShouldEqual, console.ExitOK)
		})
		Convey("compile does not overwrite a release", func() {
			r := runCLI("compile", "--questionnaires", examplesDir, "--deployment", "zaalwijzer", "--out", w.first)
			So(r.code, ShouldEqual, console.ExitUsage)
		})
	})
}

// Guards against verify accepting a release that nodes would refuse: without a valid
// approval by a trusted key, with that of another release, or with chunks that are
// missing or changed.
func TestVerifyRefuses(t *testing.T) {
	cases := []struct {
		name    string
		corrupt func(w workspace)
		want    string
	}{
		{"an approval by another key", func(w workspace) {
			other := filepath.Join(w.dir, "other")
			So(runCLI("keygen", "--id", "ops", "--out", other).code, ShouldEqual, console.ExitOK)
			So(os.Rename(other+".pub", w.trust), ShouldBeNil)
		}, "no valid approval"},
		{"the approval of another release", func(w workspace) {
			So(os.Rename(filepath.Join(w.first, "approved.json"), filepath.Join(w.second, "approved.json")), ShouldBeNil)
		}, "the approval is for 1@"},
		{"a missing chunk", func(w workspace) {
			So(os.RemoveAll(filepath.Join(w.second, "chunks")), ShouldBeNil)
		}, "is missing"},
		{"a changed chunk", func(w workspace) {
			paths, _ := filepath.Glob(filepath.Join(w.second, "chunks", "*.json"))
			replaceInFile(paths[0], `"slots":10`, `"slots":11`)
		}, "does not match its digest"},
		{"no approval", func(w workspace) {
			So(os.Remove(filepath.Join(w.second, "approved.json")), ShouldBeNil)
		}, "nobody has approved it"},
	}
	for _, c := range cases {
		Convey("verify fails on "+c.name, t, func() {
			w := newWorkspace(t)
			c.corrupt(w)
			r := runCLI("verify", "--trust", w.trust, w.second)
			So(r.code, ShouldEqual, console.ExitFailed)
			So(r.err, ShouldContainSubstring, c.want)
		})
	}
}

// Guards against an operator signing a release that is invalid and that nodes refuse
// after it was published.
func TestApproveRefusesWhatNodesWouldRefuse(t *testing.T) {
	Convey("A release with a changed chunk is not signed", t, func() {
		w := newWorkspace(t)
		paths, _ := filepath.Glob(filepath.Join(w.second, "chunks", "*.json"))
		replaceInFile(paths[0], `"slots":10`, `"slots":11`)
		r := runCLI("approve", "--key", w.key, w.second)
		So(r.code, ShouldEqual, console.ExitFailed)
	})
}

// Guards the exit codes that scripts distinguish. A field error in a questionnaire is a
// failed check in questionnaire check and invalid input in compile.
func TestExitCodes(t *testing.T) {
	Convey("Wrong usage and invalid input give exit code 2, a failed check gives 1", t, func() {
		dir := t.TempDir()
		So(runCLI().code, ShouldEqual, console.ExitUsage)
		So(runCLI("compile").code, ShouldEqual, console.ExitUsage)
		So(runCLI("nonsense").code, ShouldEqual, console.ExitUsage)
		So(runCLI("questionnaire", "check", dir).code, ShouldEqual, console.ExitUsage)
		file := filepath.Join(dir, "orders.yaml")
		So(runCLI("questionnaire", "init", "--service", "orders", file).code, ShouldEqual, console.ExitOK)
		So(runCLI("questionnaire", "init", "--service", "orders", file).code, ShouldEqual, console.ExitUsage)
		So(runCLI("questionnaire", "check", dir).code, ShouldEqual, console.ExitOK)
		replaceInFile(file, "slots: 10", "slotz: 10")
		r := runCLI("questionnaire", "check", dir)
		So(r.code, ShouldEqual, console.ExitFailed)
		So(r.err, ShouldContainSubstring, `orders.yaml:16:3: servers.slotz: found an unknown key, expected "slots"`)
		compiled := runCLI("compile", "--questionnaires", dir, "--deployment", "d", "--out", filepath.Join(dir, "r"))
		So(compiled.code, ShouldEqual, console.ExitUsage)
	})
}
