package daemon

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"harehook.dev/harehook/internal/fakeplatform"
)

// A sidecar without a certificate that the installation's roots have signed must not be served. When certificates are
// replaced, connected streams continue and new sidecars connect with the new certificates.
func TestSidecarsNeedTrustedCertificates(t *testing.T) {
	in := newInstallation(t, "n-1", "s-1")
	authority := fakeplatform.NewAuthority(t)
	issue := func(name string) string {
		certificate, key := authority.Issue(name, time.Now().Add(-time.Hour), time.Now().Add(time.Hour))
		in.write(name+".key", string(key))
		in.write("roots.pem", string(authority.Roots()))
		return in.write(name+".crt", string(certificate))
	}
	issue("conductor")
	issue("sidecar")
	certificateSettings := func(name string) string {
		return fmt.Sprintf("keys certificate=%q key=%q roots=\"roots.pem\"", name+".crt", name+".key")
	}
	in.configure(certificateSettings("conductor"))
	in.start("harehook-xds", "conductor.kdl")
	untrusted, _ := in.startSidecar("untrusted", "north", "delta")
	in.certificatesText = certificateSettings("sidecar")
	address, _ := in.startSidecar("sidecar", "north", "delta")
	in.waitUntil("the sidecar answers", isAnswering(address))
	if _, status := call(untrusted, "/quote", ""); status == http.StatusOK {
		t.Errorf("call through a sidecar without a certificate: got status %d, want an error", status)
	}
	issue("conductor")
	issue("sidecar")
	in.waitUntil("a sidecar connects with the new certificates", func() bool {
		other, stop := in.startSidecar("other", "south", "state")
		defer stop()
		for range 50 {
			if isAnswering(other)() {
				return true
			}
			time.Sleep(20 * time.Millisecond)
		}
		return false
	})
	in.callAll(address, "/quote", 5)
}
