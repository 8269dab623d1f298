package target

import (
	"errors"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a target that is read in another way than the written rule says.
func TestParse(t *testing.T) {
	const host = "a.example"
	read := func(method, raw, host string) string {
		parsed, err := Parse(method, raw, host)
		if err != nil {
			So(errors.Is(err, ErrInvalid), ShouldBeTrue)
			return "400"
		}
		So(parsed.Raw, ShouldEqual, raw)
		return parsed.Host + " " + parsed.Path
	}
	Convey("The path is what stands before the query, byte for byte", t, func() {
		for _, path := range []string{
			"/", "//", "/a%2Fb", "/a//b", "//a/b", "/a/../b", "/a/%2e%2E/b", "/a/./b", "/a\\b", "/a%5cb",
			"/%zz", "/%", "/a%00b", "/(a)|{b}'", "/\xff\xc3\xa9", "/a;b=c", "//x/http://b.example/",
		} {
			So(read("GET", path, host), ShouldEqual, host+" "+path)
			So(read("GET", path+"?q=/../%2F//?x", host), ShouldEqual, host+" "+path)
			So(read("POST", "http://"+host+path, host), ShouldEqual, host+" "+path)
		}
	})
	Convey("A URI has the host of the header; without a path it asks for / or the server itself", t, func() {
		So(read("GET", "http://a.example", host), ShouldEqual, "a.example /")
		So(read("GET", "HTTPS://A.example:80?x=/y", "a.example:80"), ShouldEqual, "a.example:80 /")
		So(read("GET", "http://a.example/b", ""), ShouldEqual, "a.example /b")
		So(read("OPTIONS", "http://a.example", host), ShouldEqual, "a.example *")
		So(read("OPTIONS", "*", host), ShouldEqual, "a.example *")
		So(read("get", "/b", "A.Example:"), ShouldEqual, "A.Example: /b")
		So(read("GET", "/b", ""), ShouldEqual, " /b")
	})
	Convey("What can't be a target or a host is refused", t, func() {
		for _, raw := range []string{
			"", "*", "a", "?a=b", "a/b", "/a b", "/a\tb", "/a\x00", "/a\x7f", "/a#b", "http:/a", "http:///a", "ftp://a.example/",
			"http://b.example/", "http://u@a.example/", "http://a.example\\/", "://a.example/", "a.example:443",
		} {
			So(read("GET", raw, host), ShouldEqual, "400")
		}
		So(read("CONNECT", "a.example:443", host), ShouldEqual, "400")
		So(read("CONNECT", "/a", host), ShouldEqual, "400")
		for _, h := range []string{"u@a", "a b", "a/b", "a:80x", "a:80:90", ":80", "a%", "a%4", "\xc3\xa9.example", "[::1", "[::1]x", "[]", "a\\b", "a?b", "a#b"} {
			So(read("GET", "/", h), ShouldEqual, "400")
		}
		for _, h := range []string{"a_b.example", "[::1]", "[::1]:80", "a%41", "a,b", "a.example.", "127.0.0.1:80"} {
			So(read("GET", "/", h), ShouldEqual, h+" /")
		}
	})
}

// Guards against a target that is changed, or that a program which splits lines or words reads differently.
func FuzzParse(f *testing.F) {
	for _, raw := range []string{
		"/a%2Fb//c/../%2e?q=%zz", "//b.example/://c", "http://a.example/x", "http://a.example?y", "*", "?a", "/a\\b", "/\x00", "/a#b?c",
	} {
		f.Add("GET", raw, "a.example")
	}
	f.Add("OPTIONS", "*", "[::1]:80")
	f.Add("CONNECT", "a:1", "a%41:1")
	f.Fuzz(func(t *testing.T, method, raw, host string) {
		parsed, err := Parse(method, raw, host)
		if err != nil {
			if !errors.Is(err, ErrInvalid) {
				t.Fatal(err)
			}
			return
		}
		if parsed.Raw != raw || host != "" && parsed.Host != host {
			t.Fatalf("%q at %q was read as %+v", raw, host, parsed)
		}
		if strings.ContainsAny(raw, " \t\r\n#") || strings.ContainsAny(parsed.Host, " \t\r\n#/?@\\") {
			t.Fatalf("%q at %q was accepted", raw, host)
		}
		start, _, _ := strings.Cut(raw, "?")
		if parsed.Path != "*" && parsed.Path != "/" && !strings.HasSuffix(start, parsed.Path) {
			t.Fatalf("%q has the path %q", raw, parsed.Path)
		}
		if strings.HasPrefix(raw, "/") && parsed.Path != start {
			t.Fatalf("%q has the path %q", raw, parsed.Path)
		}
	})
}
