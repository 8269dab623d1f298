package settings

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestTemplateIsValid(t *testing.T) {
	Convey("The template parses and gives the defaults", t, func() {
		s, err := Parse("template.yaml", []byte(Template()))
		So(err, ShouldBeNil)
		d := Default()
		So(s.Platform.Timeout, ShouldEqual, d.Platform.Timeout)
		So(s.Platform.Wait, ShouldEqual, d.Platform.Wait)
		So(s.Log, ShouldResemble, d.Log)
		So(s.Trace, ShouldResemble, d.Trace)
	})
}

func TestParseNamesEveryError(t *testing.T) {
	const file = `vm: {id: a, service: s, region: r}
listen:
  peer: localhost:1
  caller: 127.0.0.1:2
  admin: 127.0.0.1:3
server: {address: 127.0.0.1:4}
platform:
  addresses: [127.0.0.1:5]
  timeout: 3
approval_keys: [nokey]
preset: fast
colour: red
`
	Convey("All errors come with line and field", t, func() {
		_, err := Parse("node.yaml", []byte(file))
		So(err, ShouldNotBeNil)
		for _, want := range []string{
			"vm.domain", "node.yaml:3", "listen.peer", "node.yaml:9", "platform.timeout",
			"approval_keys[0]", "preset", "node.yaml:12", "colour",
		} {
			So(err.Error(), ShouldContainSubstring, want)
		}
	})
}

func TestPeerTLSIsAskedFor(t *testing.T) {
	with := func(peerTLS string) error {
		lines := strings.Split(Template(), "\n")
		kept := lines[:0]
		skip := false
		for _, l := range lines {
			if l == "peer_tls:" {
				skip = true
			} else if skip && !strings.HasPrefix(l, "  ") {
				skip = false
			}
			if !skip {
				kept = append(kept, l)
			}
		}
		_, err := Parse("node.yaml", []byte(strings.Join(kept, "\n")+"\n"+peerTLS+"\n"))
		return err
	}
	Convey("Plain connections between nodes must be asked for", t, func() {
		So(with("peer_tls: {mode: plain}"), ShouldBeNil)
		So(with("peer_tls: {mode: mutual, cert: c, key: k, ca: a}"), ShouldBeNil)
		for text, field := range map[string]string{
			"":                                   "peer_tls",
			"peer_tls: {cert: c, key: k, ca: a}": "peer_tls.mode",
			"peer_tls: {mode: none}":             "peer_tls.mode",
			"peer_tls: {mode: mutual, cert: c, key: k}": "peer_tls.ca",
			"peer_tls: {mode: plain, cert: c}":          "peer_tls.cert",
			"peer_tls: {mode: plain, reload: 0s}":       "peer_tls.reload",
		} {
			err := with(text)
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, field)
		}
	})
}
