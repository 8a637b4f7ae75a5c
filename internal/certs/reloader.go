// Package certs has a program's certificate, its private key and the roots by which it verifies others, and reloads them in
// service: open streams go on, new ones use the new certificate. A pair that does not match, is half written or has expired
// leaves the one in use in place.
//
// Controllers and sidecars [Load] a [Store] at their start, use its TLS configurations, and call ReloadIfChanged from time
// to time.
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

// alpnHTTP2 is the protocol that gRPC negotiates.
const alpnHTTP2 = "h2"

// Reasons for which certificates are not used.
var (
	errNoPeerCertificate = errors.New("no certificate was shown")
	errNoRoots           = errors.New("no certificate in it")
)

// ValidityError says that a certificate has expired, or is not valid yet; [Load] and [Store.Reload] return it.
type ValidityError struct {
	Path                string
	NotBefore, NotAfter time.Time
}

// Error implements error.
func (e *ValidityError) Error() string {
	return fmt.Sprintf("%s: valid from %s to %s only", e.Path, e.NotBefore, e.NotAfter)
}

// Files are the paths of PEM files: all, or none.
type Files struct{ Certificate, Key, Roots string }

// Reloader has the certificate, key and roots in use. The TLS configurations that it returns may be used by any goroutine;
// Load and the methods that reload are called by one.
type Reloader struct {
	files    Files
	now      func() time.Time
	active   atomic.Pointer[credentials]
	modTimes modTimes // of the files in use
}

// modTimes are those of certificate, key and roots.
type modTimes [3]time.Time

// credentials are what one load of the files gave.
type credentials struct {
	certificate tls.Certificate
	roots       *x509.CertPool
	expires     time.Time
}

// Load reads the files, which have to be usable at the start. Without files the store is nil.
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

// Reload reads the files again if one of them has changed. It tells whether new credentials are in use; an error says why
// those before stay in use: the file's, a mismatch of certificate and key, or a [ValidityError].
func (r *Reloader) Reload() (changed bool, err error) {
	found, err := r.findModTimes()
	if err != nil {
		return false, err
	}
	if r.active.Load() != nil && found == r.modTimes {
		return false, nil
	}
	next, err := r.load()
	if err != nil {
		return false, err // tried again the next time: a pair may be half written
	}
	r.modTimes = found
	r.active.Store(next)
	return true, nil
}

func (r *Reloader) findModTimes() (found modTimes, err error) {
	for index, path := range []string{r.files.Certificate, r.files.Key, r.files.Roots} {
		info, err := os.Stat(path)
		if err != nil {
			return found, err
		}
		found[index] = info.ModTime()
	}
	return found, nil
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

// ReloadIfChanged reloads changed files and logs what came of it. A nil store has no files.
func (r *Reloader) ReloadIfChanged(log *zap.Logger) {
	if r == nil {
		return
	}
	changed, err := r.Reload()
	switch {
	case err != nil:
		log.Error("keys kept, the new ones can't be used", zap.Error(err))
	case changed:
		log.Info("new keys", zap.Time("until", r.Expires()))
	}
}

// Expires is when the certificate in use expires.
func (r *Reloader) Expires() time.Time { return r.active.Load().expires }

// ServerConfig returns a server's TLS configuration. Both sides need a certificate that the roots have signed.
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

// ClientConfig returns a client's TLS configuration. The server's certificate has to be for a name.
func (r *Reloader) ClientConfig(serverName string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{alpnHTTP2},
		ServerName: serverName,
		// VerifyConnection verifies instead: it reads the roots at each connection, so that new ones count at once.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &r.active.Load().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return r.verify(state, x509.ExtKeyUsageServerAuth, serverName)
		},
	}
}

// verify returns why the peer's certificate is not valid for a usage and, unless it is empty, a name.
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
