package harness

import (
	"crypto"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"time"
)

// certificateLife is how long the certificates of a cluster are valid.
const certificateLife = time.Hour

// authority is a certificate authority for one cluster. Its certificates name a node's VM
// in a URI of the form auburnladder://vm/ID.
type authority struct {
	dir  string
	cert *x509.Certificate
	key  ed25519.PrivateKey
}

// newAuthority generates a self-signed CA and writes its certificate to ca.pem in dir.
func newAuthority(dir string) (*authority, error) {
	public, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "e2e"},
		NotBefore:             time.Now().Add(-time.Minute),
		NotAfter:              time.Now().Add(certificateLife),
		KeyUsage:              x509.KeyUsageCertSign,
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	a := &authority{dir: dir, cert: cert, key: key}
	return a, writePEM(a.caFile(), "CERTIFICATE", der)
}

func (a *authority) caFile() string { return filepath.Join(a.dir, "ca.pem") }

// issue writes a certificate and a private key for a VM and returns the value of the
// setting peer_tls that refers to them.
func (a *authority) issue(vm string) (string, error) {
	public, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: vm},
		NotBefore:    time.Now().Add(-time.Minute),
		NotAfter:     time.Now().Add(certificateLife),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		URIs:         []*url.URL{{Scheme: "auburnladder", Host: "vm", Path: "/" + vm}},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, public, a.key)
	if err != nil {
		return "", err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(crypto.PrivateKey(key))
	if err != nil {
		return "", err
	}
	certFile, keyFile := filepath.Join(a.dir, vm+".pem"), filepath.Join(a.dir, vm+".tls.key")
	if err := writePEM(certFile, "CERTIFICATE", der); err != nil {
		return "", err
	}
	if err := writePEM(keyFile, "PRIVATE KEY", keyDER); err != nil {
		return "", err
	}
	return fmt.Sprintf(`{mode: mutual, cert: "%s", key: "%s", ca: "%s"}`, certFile, keyFile, a.caFile()), nil
}

func writePEM(path, kind string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
