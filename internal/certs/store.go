// Package keys keeps a certificate, its key and the roots that others are checked by, and takes new ones over in
// service: streams that stand go on, new ones use the new keys. A pair that does not fit, is half written or has
// expired leaves the old one in place.
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

// Files name the files that keys come from: all, or none.
type Files struct{ Certificate, Key, Roots string }

// Store are what is in use.
type Store struct {
	files    Files
	now      func() time.Time
	active   atomic.Pointer[credentials]
	modTimes [3]time.Time // when the files in use were changed
}

type credentials struct {
	certificate tls.Certificate
	roots       *x509.CertPool
	expires     time.Time
}

// Load reads keys; at a start they have to fit. Without files there are none: nil.
func Load(files Files) (*Store, error) {
	if files == (Files{}) {
		return nil, nil
	}
	k := &Store{files: files, now: time.Now}
	if _, err := k.Reload(); err != nil {
		return nil, err
	}
	return k, nil
}

// Reload reads the files again if one of them changed. It tells whether new keys are in use; an error says why the old
// ones stay.
func (k *Store) Reload() (changed bool, err error) {
	var seen [3]time.Time
	for at, path := range []string{k.files.Certificate, k.files.Key, k.files.Roots} {
		about, err := os.Stat(path)
		if err != nil {
			return false, err
		}
		seen[at] = about.ModTime()
	}
	if k.active.Load() != nil && seen == k.modTimes {
		return false, nil
	}
	next, err := k.load()
	if err != nil {
		return false, err // looked at again the next time: a pair may be half written
	}
	k.modTimes = seen
	k.active.Store(next)
	return true, nil
}

func (k *Store) load() (*credentials, error) {
	certificate, err := tls.LoadX509KeyPair(k.files.Certificate, k.files.Key)
	if err != nil {
		return nil, fmt.Errorf("%s and %s: %w", k.files.Certificate, k.files.Key, err)
	}
	leaf, err := x509.ParseCertificate(certificate.Certificate[0])
	if err != nil {
		return nil, fmt.Errorf("%s: %w", k.files.Certificate, err)
	}
	if now := k.now(); now.After(leaf.NotAfter) || now.Before(leaf.NotBefore) {
		return nil, fmt.Errorf("%s: valid from %s to %s only", k.files.Certificate, leaf.NotBefore, leaf.NotAfter)
	}
	text, err := os.ReadFile(k.files.Roots)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("%s: no certificate in it", k.files.Roots)
	}
	return &credentials{certificate, roots, leaf.NotAfter}, nil
}

// ReloadIfChanged takes changed files over and logs what came of it; nil keys have none.
func (k *Store) ReloadIfChanged(log *zap.Logger) {
	if k == nil {
		return
	}
	if changed, err := k.Reload(); err != nil {
		log.Error("keys kept, the new ones can't be used", zap.Error(err))
	} else if changed {
		log.Info("new keys", zap.Time("until", k.Expires()))
	}
}

// Expires is when the certificate in use expires.
func (k *Store) Expires() time.Time { return k.active.Load().expires }

// ServerConfig gives what a server checks clients by and shows them: both sides need a certificate of the roots.
func (k *Store) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAnyClientCert, NextProtos: []string{"h2"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &k.active.Load().certificate, nil },
		VerifyConnection: func(s tls.ConnectionState) error {
			return k.verify(s, x509.ExtKeyUsageClientAuth, "")
		},
	}
}

// ClientConfig gives what a client checks a server by and shows it. The name is what the server's certificate has to be for.
func (k *Store) ClientConfig(name string) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{"h2"}, ServerName: name,
		// The roots are looked up at each connection, so that new ones count at once: VerifyConnection does the check.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.active.Load().certificate, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			return k.verify(s, x509.ExtKeyUsageServerAuth, name)
		},
	}
}

func (k *Store) verify(s tls.ConnectionState, usage x509.ExtKeyUsage, name string) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("no certificate was shown")
	}
	between := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: k.active.Load().roots, Intermediates: between, DNSName: name,
		CurrentTime: k.now(), KeyUsages: []x509.ExtKeyUsage{usage}})
	return err
}
