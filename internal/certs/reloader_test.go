package certs

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"harehook.dev/harehook/internal/fakeplatform"
)

// writeFiles writes certificate files. It sets their modification times explicitly, since those of the file system may
// be too coarse to differ between two writes.
func writeFiles(t *testing.T, folder string, generation int, cert, key, roots []byte) Files {
	t.Helper()
	f := Files{filepath.Join(folder, "cert"), filepath.Join(folder, "key"), filepath.Join(folder, "roots")}
	for path, text := range map[string][]byte{f.Certificate: cert, f.Key: key, f.Roots: roots} {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		when := time.Unix(1700000000+int64(generation), 0)
		if err := os.Chtimes(path, when, when); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

// handshake performs a TLS handshake over loopback and sends one byte.
func handshake(t *testing.T, server, client *Reloader) error {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	serverErrs := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			serverErrs <- err
			return
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		s := tls.Server(conn, server.ServerConfig())
		if err = s.Handshake(); err == nil {
			_, err = s.Write([]byte{1})
		}
		serverErrs <- err
	}()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	c := tls.Client(conn, client.ClientConfig("conductor"))
	if err = c.Handshake(); err == nil {
		_, err = io.ReadFull(c, make([]byte, 1))
	}
	if serverErr := <-serverErrs; err == nil {
		err = serverErr
	}
	return err
}

// Certificates and roots are replaced while the programs run. Files that cannot be used, for instance partially written
// ones, must leave the previous ones in use, and both sides must be able to connect at each step of a rotation.
func TestCertificateRotation(t *testing.T) {
	old, next := fakeplatform.NewAuthority(t), fakeplatform.NewAuthority(t)
	both := append(old.Roots(), next.Roots()...)
	now := time.Now()
	serverFolder, clientFolder := t.TempDir(), t.TempDir()
	cert, key := old.Issue("conductor", now.Add(-time.Hour), now.Add(time.Hour))
	server, err := Load(writeFiles(t, serverFolder, 0, cert, key, old.Roots()))
	if err != nil {
		t.Fatal(err)
	}
	clientCert, clientKey := old.Issue("till", now.Add(-time.Hour), now.Add(time.Hour))
	client, err := Load(writeFiles(t, clientFolder, 0, clientCert, clientKey, old.Roots()))
	if err != nil {
		t.Fatal(err)
	}
	expectHandshake := func(when string, want bool) {
		t.Helper()
		if err := handshake(t, server, client); (err == nil) != want {
			t.Errorf("%s: got handshake error %v, want success %t", when, err, want)
		}
	}
	expectHandshake("initial certificates", true)

	newCert, newKey := next.Issue("conductor", now.Add(-time.Hour), now.Add(time.Hour))
	expiredCert, expiredKey := next.Issue("conductor", now.Add(-2*time.Hour), now.Add(-time.Hour))
	for when, files := range map[string][3][]byte{
		"mismatched":  {newCert, key, both},
		"truncated":   {newCert[:len(newCert)/2], newKey, both},
		"expired":     {expiredCert, expiredKey, both},
		"empty roots": {newCert, newKey, nil},
	} {
		writeFiles(t, serverFolder, 1, files[0], files[1], files[2])
		changed, err := server.Reload()
		if changed || err == nil {
			t.Errorf("%s: got changed %t, error %v, want false and an error", when, changed, err)
		}
		var invalid *ValidityError
		if errors.As(err, &invalid) != (when == "expired") {
			t.Errorf("%s: got error %T, want *ValidityError only if expired", when, err)
		}
		expectHandshake(when, true)
	}

	writeFiles(t, serverFolder, 2, newCert, newKey, both)
	if changed, err := server.Reload(); !changed || err != nil {
		t.Fatalf("rotation: got changed %t, error %v, want true and no error", changed, err)
	}
	expectHandshake("client has only the old roots", false)
	writeFiles(t, clientFolder, 2, clientCert, clientKey, both)
	if _, err := client.Reload(); err != nil {
		t.Fatal(err)
	}
	expectHandshake("both have both roots, client has its old certificate", true)
	writeFiles(t, serverFolder, 3, newCert, newKey, next.Roots())
	if _, err := server.Reload(); err != nil {
		t.Fatal(err)
	}
	expectHandshake("server has only the new roots, client has its old certificate", false)
	clientCert, clientKey = next.Issue("till", now.Add(-time.Hour), now.Add(time.Hour))
	writeFiles(t, clientFolder, 3, clientCert, clientKey, next.Roots())
	if _, err := client.Reload(); err != nil {
		t.Fatal(err)
	}
	expectHandshake("both have new certificates and roots", true)
	if changed, err := client.Reload(); changed || err != nil {
		t.Errorf("unchanged files: got changed %t, error %v, want false and no error", changed, err)
	}
	wrong, wrongKey := next.Issue("someone", now.Add(-time.Hour), now.Add(time.Hour))
	writeFiles(t, serverFolder, 4, wrong, wrongKey, next.Roots())
	if _, err := server.Reload(); err != nil {
		t.Fatal(err)
	}
	expectHandshake("server certificate has another name", false)
}
