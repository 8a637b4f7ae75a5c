// Package certs loads a program's certificate, its private key and the roots that verify its peers, and reloads them
// while the program runs: existing connections continue, new ones use the new certificate. If the new pair does not
// match, is partially written or has expired, the previous one stays in use.
//
// Controllers and sidecars call [Load] at their start, use the TLS configurations of the [Reloader], and call
// [Reloader.ReloadIfChanged] periodically.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// alpnHTTP2 is the ALPN protocol that gRPC negotiates.
const alpnHTTP2 = "h2"

// Reasons why certificates are rejected.
var (
	errNoPeerCertificate = errors.New("peer presented no certificate")
	errNoRoots           = errors.New("no certificates found")
)

// ValidityError is returned by [Load] and [Reloader.Reload] when a certificate has expired or is not valid yet.
type ValidityError struct {
	Path                string
	NotBefore, NotAfter time.Time
}

// Error implements error.
func (e *ValidityError) Error() string {
	return fmt.Sprintf("%s: certificate is valid only from %s to %s", e.Path, e.NotBefore, e.NotAfter)
}

// Files holds the paths of PEM files. Either all are set or none.
type Files struct{ Certificate, Key, Roots string }

// Reloader holds the certificate, key and roots in use. The TLS configurations that it returns are safe for concurrent
// use; Reload and ReloadIfChanged must be called by only one goroutine at a time.
type Reloader struct {
	files    Files
	now      func() time.Time
	active   atomic.Pointer[credentials]
	modTimes modTimes // of the files in use
}

// modTimes are the modification times of the certificate, key and roots files.
type modTimes [3]time.Time

// credentials is the result of loading the files once.
type credentials struct {
	certificate tls.Certificate
	roots       *x509.CertPool
	expires     time.Time
}

// Load reads the files and returns an error if they cannot be used. If no path is set, the Reloader is nil: the program
// then uses no TLS.
func Load(files Files) (*Reloader, error) {
	if files == (Files{}) {
		return nil, nil
	}
	r := &Reloader{files: files, now: time.Now}
	if _, err := r.Reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// Reload reads the files again if the modification time of one of them has changed, and reports whether new credentials
// are in use. It returns an error if a file cannot be read, if the certificate and key do not match, or, as a
// [ValidityError], if the certificate has expired or is not valid yet. The previous credentials then stay in use.
func (r *Reloader) Reload() (changed bool, err error) {
	current, err := r.readModTimes()
	if err != nil {
		return false, err
	}
	if r.active.Load() != nil && current == r.modTimes {
		return false, nil
	}
	next, err := r.load()
	if err != nil {
		return false, err // the next call tries again: the pair may be partially written
	}
	r.modTimes = current
	r.active.Store(next)
	return true, nil
}

func (r *Reloader) readModTimes() (current modTimes, err error) {
	for index, path := range []string{r.files.Certificate, r.files.Key, r.files.Roots} {
		info, err := os.Stat(path)
		if err != nil {
			return current, err
		}
		current[index] = info.ModTime()
	}
	return current, nil
}

func (r *Reloader) load() (*credentials, error) {
	certificate, err := tls.LoadX509KeyPair(r.files.Certificate, r.files.Key)
	if err != nil {
		return nil, fmt.Errorf("%s and %s: %w", r.files.Certificate, r.files.Key, err)
	}
	leaf, err := x509.ParseCertificate(certificate.Certificate[0])
	if err != nil {
		return nil, fmt.Errorf("%s: %w", r.files.Certificate, err)
	}
	now := r.now()
	if now.After(leaf.NotAfter) || now.Before(leaf.NotBefore) {
		return nil, &ValidityError{Path: r.files.Certificate, NotBefore: leaf.NotBefore, NotAfter: leaf.NotAfter}
	}
	pem, err := os.ReadFile(r.files.Roots)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s: %w", r.files.Roots, errNoRoots)
	}
	return &credentials{certificate: certificate, roots: roots, expires: leaf.NotAfter}, nil
}

// ReloadIfChanged reloads changed files and logs the result. It does nothing on a nil Reloader, which has no files.
func (r *Reloader) ReloadIfChanged(log *zap.Logger) {
	if r == nil {
		return
	}
	changed, err := r.Reload()
	switch {
	case err != nil:
		log.Error("certificate reload failed, previous certificate stays in use", zap.Error(err))
	case changed:
		log.Info("certificate reloaded", zap.Time("until", r.Expires()))
	}
}

// Expires returns the time at which the certificate in use expires.
func (r *Reloader) Expires() time.Time { return r.active.Load().expires }

// ServerConfig returns a server's TLS configuration. Both sides must present a certificate signed by one of the roots.
func (r *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{alpnHTTP2},
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &r.active.Load().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return r.verify(state, x509.ExtKeyUsageClientAuth, "")
		},
	}
}

// ClientConfig returns a client's TLS configuration. The server's certificate must be valid for serverName.
func (r *Reloader) ClientConfig(serverName string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{alpnHTTP2},
		ServerName: serverName,
		// VerifyConnection verifies instead: it reads the roots at each connection, so that new roots apply immediately.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &r.active.Load().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return r.verify(state, x509.ExtKeyUsageServerAuth, serverName)
		},
	}
}

// verify returns an error unless the peer's certificate is valid for a usage and, if name is not empty, for that name.
func (r *Reloader) verify(state tls.ConnectionState, usage x509.ExtKeyUsage, name string) error {
	if len(state.PeerCertificates) == 0 {
		return errNoPeerCertificate
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         r.active.Load().roots,
		Intermediates: intermediates,
		DNSName:       name,
		CurrentTime:   r.now(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return err
}
