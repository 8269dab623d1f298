package peertls

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"time"

	"auburnladder.example/node/peers"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
)

var _ peers.Transport = (*Transport)(nil)

// authority signs certificates for one test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func newKey() *ecdsa.PrivateKey {
	return must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))
}

func newAuthority() *authority {
	a := &authority{key: newKey()}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der := must(x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key))
	a.cert = must(x509.ParseCertificate(der))
	a.pem = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return a
}

// issue writes credentials that hold the given URIs into dir.
func (a *authority) issue(dir string, notAfter time.Time, uris ...*url.URL) *Files {
	key := newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: notAfter, URIs: uris,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der := must(x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key))
	f := &Files{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	write(f.Cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	write(f.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: must(x509.MarshalPKCS8PrivateKey(key))}))
	write(f.CA, a.pem)
	return f
}

func write(path string, data []byte) {
	if err := os.WriteFile(path, data, 0o600); err != nil {
		panic(err)
	}
}

func (a *authority) transport(dir, vm string) *Transport {
	t, err := New(vm, a.issue(dir, time.Now().Add(time.Hour), IdentityURI(vm)), zerolog.Nop())
	So(err, ShouldBeNil)
	return t
}

// accepted is the result of Transport.Accept.
type accepted struct {
	vm  string
	err error
}

// connect dials server from client, expecting the node of vm, and returns the results of
// both ends. The client reads one byte that the server sends, because it receives a refusal
// only when it reads.
func connect(client, server *Transport, vm string) (got accepted, dialErr error) {
	l := must(net.Listen("tcp", "127.0.0.1:0"))
	defer l.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	result := make(chan accepted, 1)
	go func() {
		raw := must(l.Accept())
		defer raw.Close()
		conn, vm, err := server.Accept(ctx, raw)
		if err == nil {
			_, err = conn.Write([]byte{1})
		}
		result <- accepted{vm, err}
	}()
	conn, err := client.Dial(ctx, vm, netip.MustParseAddrPort(l.Addr().String()))
	if err == nil {
		_, err = io.ReadFull(conn, make([]byte, 1))
		conn.Close()
	}
	return <-result, err
}

// Guards against a node that accepts a connection to or from a peer without a valid
// certificate of the expected VM.
func TestMutualIdentity(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("Given two nodes with certificates of the same authority", t, func() {
		ca := newAuthority()
		a, b := ca.transport(t.TempDir(), "a-1"), ca.transport(t.TempDir(), "b-1")
		Convey("each identifies its VM to the other", func() {
			got, err := connect(a, b, "b-1")
			So(err, ShouldBeNil)
			So(got, ShouldResemble, accepted{vm: "a-1"})
		})
		Convey("a node other than the dialled one is refused", func() {
			_, err := connect(a, b, "c-1")
			So(errors.Is(err, ErrIdentity), ShouldBeTrue)
		})
		Convey("certificates of another authority are refused by both ends", func() {
			stranger := newAuthority().transport(t.TempDir(), "a-1")
			got, err := connect(stranger, b, "b-1")
			So(err, ShouldNotBeNil)
			So(got.err, ShouldNotBeNil)
			trusting := newAuthority().transport(t.TempDir(), "a-1")
			trusting.files.current.Store(&credentials{cert: trusting.files.current.Load().cert, roots: a.files.current.Load().roots})
			got, err = connect(trusting, b, "b-1")
			So(err, ShouldNotBeNil)
			So(got.err.Error(), ShouldContainSubstring, "unknown authority")
		})
		Convey("a certificate that expired since it was loaded is refused", func() {
			b.now = func() time.Time { return time.Now().Add(2 * time.Hour) }
			got, _ := connect(a, b, "b-1")
			So(got.err, ShouldNotBeNil)
		})
		Convey("a plain connection and one without a certificate are refused", func() {
			for _, dial := range []func(net.Conn) error{
				func(c net.Conn) error { _, err := c.Write([]byte("GET / HTTP/1.1\r\n\r\n")); return err },
				func(c net.Conn) error {
					return tls.Client(c, &tls.Config{InsecureSkipVerify: true}).Handshake()
				},
			} {
				x, y := net.Pipe()
				go func() {
					defer x.Close()
					_ = dial(x)
					_, _ = io.Copy(io.Discard, x)
				}()
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				_, vm, err := b.Accept(ctx, y)
				cancel()
				y.Close()
				So(err, ShouldNotBeNil)
				So(errors.Is(err, context.DeadlineExceeded), ShouldBeFalse)
				So(vm, ShouldEqual, "")
			}
		})
	})
}

// Guards against a node that starts with a certificate that its peers will refuse.
func TestCredentialsAreChecked(t *testing.T) {
	later := time.Now().Add(time.Hour)
	cases := map[string]func(ca *authority, dir string) *Files{
		"another VM's": func(ca *authority, dir string) *Files { return ca.issue(dir, later, IdentityURI("b-1")) },
		"no URI":       func(ca *authority, dir string) *Files { return ca.issue(dir, later) },
		"two URIs": func(ca *authority, dir string) *Files {
			return ca.issue(dir, later, IdentityURI("a-1"), IdentityURI("b-1"))
		},
		"another scheme": func(ca *authority, dir string) *Files { return ca.issue(dir, later, must(url.Parse("https://vm/a-1"))) },
		"a query": func(ca *authority, dir string) *Files {
			return ca.issue(dir, later, must(url.Parse("auburnladder://vm/a-1?x=1")))
		},
		"expired": func(ca *authority, dir string) *Files {
			return ca.issue(dir, time.Now().Add(-time.Hour), IdentityURI("a-1"))
		},
		"another key": func(ca *authority, dir string) *Files {
			f := ca.issue(dir, later, IdentityURI("a-1"))
			write(f.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: must(x509.MarshalPKCS8PrivateKey(newKey()))}))
			return f
		},
		"an empty CA": func(ca *authority, dir string) *Files {
			f := ca.issue(dir, later, IdentityURI("a-1"))
			write(f.CA, nil)
			return f
		},
		"no file": func(_ *authority, dir string) *Files { return &Files{Cert: filepath.Join(dir, "none")} },
	}
	Convey("A node does not start with credentials that don't prove its VM", t, func() {
		for name, issue := range cases {
			Convey(name, func() {
				_, err := New("a-1", issue(newAuthority(), t.TempDir()), zerolog.Nop())
				So(err, ShouldNotBeNil)
			})
		}
	})
}

// Guards against a node that ignores replaced credentials, or that loses its working ones
// to incomplete or wrong files.
func TestReload(t *testing.T) {
	Convey("Given two running nodes", t, func() {
		oldCA, newCA := newAuthority(), newAuthority()
		dirA, dirB := t.TempDir(), t.TempDir()
		a, b := oldCA.transport(dirA, "a-1"), oldCA.transport(dirB, "b-1")
		Convey("a new authority is loaded without a restart", func() {
			newCA.issue(dirA, time.Now().Add(time.Hour), IdentityURI("a-1"))
			a.reload()
			_, err := connect(a, b, "b-1")
			So(err, ShouldNotBeNil)
			newCA.issue(dirB, time.Now().Add(time.Hour), IdentityURI("b-1"))
			b.reload()
			got, err := connect(a, b, "b-1")
			So(err, ShouldBeNil)
			So(got.vm, ShouldEqual, "a-1")
		})
		Convey("partly written files and those of another VM leave the previous credentials in use", func() {
			write(a.files.Cert, []byte("-----BEGIN CERT"))
			a.reload()
			newCA.issue(dirB, time.Now().Add(time.Hour), IdentityURI("a-1"))
			b.reload()
			got, err := connect(a, b, "b-1")
			So(err, ShouldBeNil)
			So(got.vm, ShouldEqual, "a-1")
		})
	})
}
