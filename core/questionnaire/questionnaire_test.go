package questionnaire

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"auburnladder.example/core/mesh"
)

const examples = "../../examples"

// readExample reads the three questionnaires of an example deployment.
func readExample(t testing.TB, deployment string) []File {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(examples, deployment, "questionnaires", "*.yaml"))
	if err != nil || len(paths) != 3 {
		t.Fatalf("questionnaires of %s: got %v, error %v, expected 3 files", deployment, paths, err)
	}
	var files []File
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, File{Name: filepath.Base(path), Data: data})
	}
	return files
}

// Guards against examples that the checks reject, and against a second release that does
// not continue the first: it must have the next sequence number, the first release's
// digest as its parent, and the same deployment.
func TestExamplesCompile(t *testing.T) {
	for _, deployment := range []string{"zaalwijzer", "camara"} {
		Convey("The example questionnaires of "+deployment+" compile to a first and a second release", t, func() {
			all, err := Parse(readExample(t, deployment))
			So(err, ShouldBeNil)
			first, err := Compile(all, Options{Deployment: deployment})
			So(err, ShouldBeNil)
			So(first.Version.Sequence, ShouldEqual, 1)
			second, err := Compile(all, Options{Base: first.Manifest})
			So(err, ShouldBeNil)
			So(second.Version.Sequence, ShouldEqual, 2)
			So(second.Manifest.Parent, ShouldEqual, first.Version.Digest)
			So(second.Chunks, ShouldResemble, first.Chunks)
			_, err = Compile(all, Options{Base: first.Manifest, Deployment: "other"})
			So(err.Error(), ShouldContainSubstring, "the base release belongs to deployment")
		})
	}
}

// Guards against a digest that depends on the order of files or lists: the same answers
// would then compile to different releases on different machines.
func TestEqualAnswersGiveEqualBytes(t *testing.T) {
	Convey("The digest of a release does not depend on the order of files and lists", t, func() {
		files := readExample(t, "zaalwijzer")
		all, err := Parse(files)
		So(err, ShouldBeNil)
		want, err := Compile(all, Options{Deployment: "zaalwijzer"})
		So(err, ShouldBeNil)
		rapid.Check(t, func(rt *rapid.T) {
			shuffled, err := Parse(rapid.Permutation(files).Draw(rt, "files"))
			if err != nil {
				rt.Fatal(err)
			}
			for _, p := range shuffled {
				p.Callers = rapid.Permutation(p.Callers).Draw(rt, "callers")
				p.Routes = rapid.Permutation(p.Routes).Draw(rt, "routes")
				p.Resources = rapid.Permutation(p.Resources).Draw(rt, "resources")
			}
			got, err := Compile(shuffled, Options{Deployment: "zaalwijzer"})
			if err != nil || got.Version != want.Version {
				rt.Fatalf("got %v, %v, want %v", got, err, want.Version)
			}
		})
	})
}

// Guards against contradictory answers that are accepted or reported at the wrong place.
// Each case changes one answer of an example and compares the complete error text.
func TestContradictions(t *testing.T) {
	cases := []struct{ name, file, old, new, want string }{
		{
			"retry statuses on a route that is not idempotent", "inschrijving.yaml", "retry: {attempts: 3}\n    deadline: 5s", "retry: {attempts: 3, statuses: [503]}\n    deadline: 5s",
			"inschrijving.yaml:45:26: routes[2].retry.statuses: found statuses on a route with idempotent: false, expected no statuses, as the response shows that the request ran; or idempotent: true",
		},
		{
			"misspelt key", "programma.yaml", "slow_start: 5s", "slow_strat: 5s",
			"programma.yaml:6:1: servers.slow_start: found nothing, expected a duration with unit, such as 250ms or 3s\nprogramma.yaml:9:3: servers.slow_strat: found an unknown key, expected \"slow_start\"",
		},
		{
			"missing answer", "programma.yaml", "    idempotent: true\n    retry: {attempts: 3, statuses: [502, 503]}\n    deadline: 800ms", "    retry: {attempts: 3, statuses: [502, 503]}\n    deadline: 800ms",
			"programma.yaml:25:5: routes[0].idempotent: found nothing, expected true or false",
		},
		{
			"unknown caller", "documenten.yaml", "callers: [public, programma]", "callers: [public, program]",
			"documenten.yaml:4:19: callers[1]: found \"program\", expected one of public, documenten, inschrijving, programma; perhaps \"programma\"",
		},
		{
			"unknown resource", "inschrijving.yaml", "resource: rooms", "resource: room",
			"inschrijving.yaml:58:5: routes[4].resource: found \"room\", expected a resource of programma: sessions, rooms, favourites; perhaps \"rooms\"",
		},
		{
			"target that does not list the caller", "programma.yaml", "callers: [public, inschrijving, documenten]", "callers: [public]",
			"inschrijving.yaml:57:5: routes[4].service: found \"programma\", whose callers do not include \"inschrijving\", expected \"inschrijving\" among the callers in programma.yaml",
		},
		{
			"duplicate host", "programma.yaml", "programma.zaalwijzer", "inschrijving.zaalwijzer",
			"programma.yaml:3:9: hosts[0]: found \"inschrijving.zaalwijzer.example\", which inschrijving.yaml already has, expected a host that no other service has",
		},
		{
			"deadline longer than the grace period", "documenten.yaml", "grace: 60s", "grace: 40s",
			"documenten.yaml:42:5: routes[2].deadline: found 1m0s, longer than stop.grace of documenten, which is 40s, expected a deadline within the grace, so that a planned stop aborts no request; or a longer grace",
		},
		{
			"stop path with a method other than http", "documenten.yaml", "how: http", "how: none",
			"documenten.yaml:12:3: stop.path: found \"/stop\", expected no path with how: none; or how: http",
		},
		{
			"two routes with the same method and path", "programma.yaml", "path: /rooms", "path: /sessions",
			"programma.yaml:34:5: routes[1].path: found GET /sessions, which route \"sessions\" already has, expected another path or method",
		},
	}
	for _, c := range cases {
		Convey("Given "+c.name, t, func() {
			files := readExample(t, "zaalwijzer")
			for i := range files {
				if files[i].Name == c.file {
					modified := strings.Replace(string(files[i].Data), c.old, c.new, 1)
					So(modified, ShouldNotEqual, string(files[i].Data))
					files[i].Data = []byte(modified)
				}
			}
			_, err := Parse(files)
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldEqual, c.want)
		})
	}
}

// FuzzParse checks that answers which Parse accepts also compile, that every error has a
// position, and that no input causes a panic.
func FuzzParse(f *testing.F) {
	for _, deployment := range []string{"zaalwijzer", "camara"} {
		for _, file := range readExample(f, deployment) {
			f.Add(file.Data)
		}
	}
	for _, seed := range []string{"", "service: [", "a: &a [*a]", "service: !!binary x", "routes:\n- {}", "? [a]: b", "\t", "<<: {a: b}"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		all, err := Parse([]File{{Name: "f.yaml", Data: data}})
		if err != nil {
			if len(fieldErrors(err)) == 0 {
				t.Fatalf("error without a position: %v", err)
			}
			return
		}
		if _, err := Compile(all, Options{Deployment: "fuzz"}); err != nil {
			t.Fatalf("accepted answers do not compile: %v", err)
		}
	})
}

// Guards against a template that questionnaire init writes and questionnaire check then
// rejects.
func TestTemplatePassesTheCheck(t *testing.T) {
	Convey("The template compiles unchanged", t, func() {
		all, err := Parse([]File{{Name: "t.yaml", Data: []byte(Template("orders"))}})
		So(err, ShouldBeNil)
		_, err = Compile(all, Options{Deployment: "d"})
		So(err, ShouldBeNil)
	})
}

// Guards against a diff that omits changed answers, reports unchanged ones, or names them
// other than in the questionnaire.
func TestDiffReportsAnswers(t *testing.T) {
	Convey("Given a release and one with changed answers", t, func() {
		before, err := Parse(readExample(t, "zaalwijzer"))
		So(err, ShouldBeNil)
		after, err := Parse(readExample(t, "zaalwijzer"))
		So(err, ShouldBeNil)
		book := &after[1].Routes[2]
		So(book.Name, ShouldEqual, "book")
		book.Deadline *= 2
		book.Methods = []string{"POST", "PUT"}
		after[1].Routes = after[1].Routes[:4]
		after[2].Resources[0].MaxResponse *= 2
		changes := Diff(snapshotOf(before), snapshotOf(after))
		So(changes, ShouldContain, Change{"inschrijving", "routes[book].deadline", "5s", "10s"})
		So(changes, ShouldContain, Change{"inschrijving", "routes[book].methods", "[POST]", "[POST, PUT]"})
		So(changes, ShouldContain, Change{"inschrijving", "routes[room-of-workshop].service", "programma", ""})
		So(changes, ShouldContain, Change{"programma", "resources[sessions].max_response", "1MiB", "2MiB"})
		So(changes, ShouldHaveLength, 12)
		So(Diff(snapshotOf(after), snapshotOf(after)), ShouldBeEmpty)
	})
}

// snapshotOf compiles all and returns the snapshot of the release.
func snapshotOf(all []*Parsed) *mesh.Snapshot {
	r, err := Compile(all, Options{Deployment: "d"})
	So(err, ShouldBeNil)
	s, err := r.Snapshot()
	So(err, ShouldBeNil)
	return s
}
