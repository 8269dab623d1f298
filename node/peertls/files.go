package peertls

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
)

var errNoCA = errors.New("the CA file contains no certificate")

// Files holds the paths of a node's credentials, all PEM files, and the content that is
// in use.
type Files struct {
	// Cert contains the node's certificate, followed by intermediate certificates.
	Cert string
	// Key contains the private key of the certificate.
	Key string
	// CA contains the certificates of the authorities that nodes trust.
	CA string

	current atomic.Pointer[credentials]
}

// credentials is the parsed content of Files at one point in time. It is immutable.
type credentials struct {
	cert  tls.Certificate
	roots *x509.CertPool
	// raw is the content of the files, kept to detect a change.
	raw []byte
}

// load reads the files for the first time and returns an error unless check accepts them.
func (f *Files) load(check func(*credentials) error) error {
	_, err := f.reload(check)
	return err
}

// reload reads the files and, if their content changed and check accepts it, makes it the
// content in use.
func (f *Files) reload(check func(*credentials) error) (changed bool, err error) {
	c, err := f.read()
	if err != nil {
		return false, err
	}
	if old := f.current.Load(); old != nil && bytes.Equal(old.raw, c.raw) {
		return false, nil
	}
	if err := check(c); err != nil {
		return false, err
	}
	f.current.Store(c)
	return true, nil
}

func (f *Files) read() (*credentials, error) {
	var content [3][]byte
	for i, path := range []string{f.Cert, f.Key, f.CA} {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("TLS credentials: %w", err)
		}
		content[i] = data
	}
	cert, err := tls.X509KeyPair(content[0], content[1])
	if err != nil {
		return nil, fmt.Errorf("TLS credentials: %s: %w", f.Cert, err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(content[2]) {
		return nil, fmt.Errorf("TLS credentials: %s: %w", f.CA, errNoCA)
	}
	return &credentials{cert: cert, roots: roots, raw: bytes.Join(content[:], []byte{0})}, nil
}
