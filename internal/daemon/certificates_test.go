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
func TestSidecarsNeedCertificatesOfTheRoots(t *testing.T) {
	in := newInstallation(t, "n-1", "s-1")
	authority := fakeplatform.NewAuthority(t)
	put := func(who string) string {
		cert, key := authority.Issue(who, time.Now().Add(-time.Hour), time.Now().Add(time.Hour))
		in.write(who+".key", string(key))
		in.write("roots.pem", string(authority.Roots()))
		return in.write(who+".crt", string(cert))
	}
	put("conductor")
	put("till")
	keys := func(who string) string {
		return fmt.Sprintf("keys certificate=%q key=%q roots=\"roots.pem\"", who+".crt", who+".key")
	}
	in.configure(keys("conductor"))
	in.start("harehook-xds", "conductor.kdl")
	stranger, _ := in.startSidecar("stranger", "north", "delta")
	in.certificatesText = keys("till")
	address, _ := in.startSidecar("till", "north", "delta")
	in.waitUntil("the sidecar answers", isAnswering(address))
	if _, status := call(stranger, "/quote", ""); status == http.StatusOK {
		t.Errorf("call through a sidecar without a certificate: got status %d, want an error", status)
	}
	put("conductor")
	put("till")
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
