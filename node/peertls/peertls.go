// Package peertls secures connections between nodes with mutual TLS. Each node's
// certificate proves which VM it runs on.
package peertls

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

const (
	// identityScheme and identityHost are the prefix of the URI that names a VM in a
	// certificate:
	// auburnladder://vm/ID.
	identityScheme = "auburnladder"
	identityHost   = "vm"
	// tcpKeepAlive is the interval of the kernel's TCP keep-alive probes.
	tcpKeepAlive = 15 * time.Second
)

var (
	// ErrIdentity is returned for a certificate that does not name the expected VM.
	ErrIdentity = errors.New("certificate does not prove the VM's identity")
	errNoPeer   = errors.New("peer presented no certificate")
)

// IdentityURI returns the URI subject alternative name that identifies a VM.
func IdentityURI(vm string) *url.URL {
	return &url.URL{Scheme: identityScheme, Host: identityHost, Path: "/" + vm}
}

// Transport dials and accepts connections between nodes. Its methods are safe for
// concurrent use.
type Transport struct {
	vm    string
	files *Files
	log   zerolog.Logger
	now   func() time.Time
}

// New loads the files and returns a transport for the node of vm. It fails if the files
// can't be read or other nodes would refuse the certificate as that of vm.
func New(vm string, files *Files, log zerolog.Logger) (*Transport, error) {
	t := &Transport{vm: vm, files: files, log: log, now: time.Now}
	return t, files.load(t.check)
}

// check returns an error for credentials that other nodes would refuse from this node.
func (t *Transport) check(c *credentials) error {
	chain := make([]*x509.Certificate, 0, len(c.cert.Certificate))
	for _, der := range c.cert.Certificate {
		cert, err := x509.ParseCertificate(der)
		if err != nil {
			return fmt.Errorf("local certificate: %w", err)
		}
		chain = append(chain, cert)
	}
	got, err := t.identify(chain, c)
	if err != nil {
		return fmt.Errorf("local certificate: %w", err)
	}
	if got != t.vm {
		return fmt.Errorf("local certificate: %w: it names %q, expected the local VM %q", ErrIdentity, got, t.vm)
	}
	return nil
}

// Dial connects to the node of vm at addr. It fails unless the certificate of that node
// identifies vm.
func (t *Transport) Dial(ctx context.Context, vm string, addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{KeepAlive: tcpKeepAlive}
	raw, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("dial peer: %w", err)
	}
	conn := tls.Client(raw, t.config(vm))
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, fmt.Errorf("handshake with %s: %w", vm, err)
	}
	return conn, nil
}

// Accept performs the server side of the TLS handshake on an accepted connection and
// returns the VM that the peer's certificate identifies.
func (t *Transport) Accept(ctx context.Context, raw net.Conn) (net.Conn, string, error) {
	conn := tls.Server(raw, t.config(""))
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, "", fmt.Errorf("handshake: %w", err)
	}
	vm, err := t.identify(conn.ConnectionState().PeerCertificates, t.files.current.Load())
	return conn, vm, err
}

// config returns the TLS configuration of one handshake. The peer's certificate must
// identify vm, or any VM if vm is "".
func (t *Transport) config(vm string) *tls.Config {
	c := t.files.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.cert},
		ClientAuth:   tls.RequireAnyClientCert,
		// A resumed session would not be verified against a replaced CA.
		SessionTicketsDisabled: true,
		// Certificates name VMs, not hosts: VerifyConnection checks the chain
		// and the VM.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			got, err := t.identify(state.PeerCertificates, c)
			if err != nil {
				return err
			}
			if vm != "" && got != vm {
				return fmt.Errorf("%w: it names %q, expected %q", ErrIdentity, got, vm)
			}
			return nil
		},
	}
}

// identify verifies the chain against the roots of c and returns the VM that the leaf
// certificate, the first one, identifies.
func (t *Transport) identify(chain []*x509.Certificate, c *credentials) (string, error) {
	if len(chain) == 0 {
		return "", errNoPeer
	}
	opts := x509.VerifyOptions{
		Roots:         c.roots,
		Intermediates: x509.NewCertPool(),
		CurrentTime:   t.now(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	for _, cert := range chain[1:] {
		opts.Intermediates.AddCert(cert)
	}
	if _, err := chain[0].Verify(opts); err != nil {
		return "", fmt.Errorf("verify certificate: %w", err)
	}
	return identityOf(chain[0])
}

// identityOf returns the VM that the only URI of cert names.
func identityOf(cert *x509.Certificate) (string, error) {
	if len(cert.URIs) != 1 {
		return "", fmt.Errorf("%w: it contains %d URIs, expected 1", ErrIdentity, len(cert.URIs))
	}
	uri := cert.URIs[0]
	vm := strings.TrimPrefix(uri.Path, "/")
	if vm == "" || uri.String() != IdentityURI(vm).String() {
		return "", fmt.Errorf("%w: it names %q, expected %s", ErrIdentity, uri, IdentityURI("ID"))
	}
	return vm, nil
}

// Run reloads the files at every interval until ctx ends. If the certificate and key don't
// match or the certificate is not valid for this VM, the previous credentials stay in use.
func (t *Transport) Run(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.reload()
		}
	}
}

func (t *Transport) reload() {
	changed, err := t.files.reload(t.check)
	switch {
	case err != nil:
		t.log.Error().Err(err).Str("event", "tls-reload-failed").Msg("TLS credentials could not be reloaded; previous ones stay in use")
	case changed:
		t.log.Info().Str("event", "tls-reloaded").Msg("new TLS credentials in use")
	}
}
