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

var errNoCA = errors.New("no certificate in the CA file")

// Files are the paths of a node's credentials, all in PEM.
type Files struct {
	// Cert holds the node's certificate, followed by intermediate ones.
	Cert string
	// Key holds the private key of the certificate.
	Key string
	// CA holds the certificates of the authorities that nodes trust.
	CA string

	current atomic.Pointer[credentials]
}

// credentials are the content of Files at one moment. They are immutable.
type credentials struct {
	cert  tls.Certificate
	roots *x509.CertPool
	// raw is what the files held, to notice a change.
	raw []byte
}

func (f *Files) load(check func(*credentials) error) error {
	_, err := f.reload(check)
	return err
}

// reload puts the content of the files in use if it changed and check accepts it.
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
