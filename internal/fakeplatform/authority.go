package fakeplatform

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"
)

// TB is the part of testing.TB that this package uses. The quick start links this package, and an import of package
// testing would add its flags to the program.
type TB interface {
	Helper()
	Fatal(args ...any)
}

// Authority is a certificate authority for tests.
type Authority struct {
	t          TB
	root       *x509.Certificate
	key        *ecdsa.PrivateKey
	lastSerial int64 // serial number of the last certificate
}

// NewAuthority returns an authority with a new self-signed root certificate.
func NewAuthority(t TB) *Authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	root := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test root"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign, NotBefore: time.Now().Add(-24 * time.Hour),
		NotAfter: time.Now().Add(24 * time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, root, root, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	if root, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	return &Authority{t: t, root: root, key: key, lastSerial: 1}
}

// Roots returns the root certificate in PEM.
func (a *Authority) Roots() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.root.Raw})
}

// Issue returns a certificate and its private key in PEM. The certificate is valid for clients and servers on loopback.
func (a *Authority) Issue(name string, notBefore, notAfter time.Time) (certificate, privateKey []byte) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	a.lastSerial++
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{SerialNumber: big.NewInt(a.lastSerial),
		Subject: pkix.Name{CommonName: name}, DNSNames: []string{name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: notBefore, NotAfter: notAfter, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}, a.root, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
}
