package daemon

import (
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/configsync/transport"
	"harehook.dev/harehook/internal/certs"
	"harehook.dev/harehook/internal/fakeplatform"
	"harehook.dev/harehook/records"
	"harehook.dev/harehook/sidecar"
)

// testMember serves followers as a member does, with records that a test sets. It keeps no history.
type testMember struct {
	t         *testing.T
	address   string
	service   *transport.Service
	server    *grpc.Server
	tlsConfig *tls.Config // nil if connections are not encrypted

	mutex           sync.Mutex // guards the fields below
	revision        uint64
	routingRevision uint64 // of all scopes: the followers in these tests have the same scope
	byKey           map[records.Key]*records.Record
}

// listenTimeout is the maximum time for which an address may still be in use by its previous listener.
const listenTimeout = 10 * time.Second

// listenAt listens on an address of freeAddress. It retries while the address is in use: a process that another test
// starts keeps a previous listener on the address open between its fork and its exec.
func listenAt(t *testing.T, address string) net.Listener {
	t.Helper()
	for deadline := time.Now().Add(listenTimeout); ; time.Sleep(10 * time.Millisecond) {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return listener
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
}

func newTestMember(t *testing.T, tlsConfig *tls.Config) *testMember {
	m := &testMember{t: t, address: freeAddress(t), tlsConfig: tlsConfig, byKey: map[records.Key]*records.Record{}}
	m.service = transport.NewService("1", m, configsync.DefaultLimits, zap.NewNop())
	m.start()
	return m
}

func (m *testMember) start() {
	m.t.Helper()
	listener := listenAt(m.t, m.address)
	server, stopped := cluster.NewServer(m.tlsConfig), make(chan struct{})
	m.server = server
	m.service.Register(server)
	go func() { defer close(stopped); server.Serve(listener) }()
	m.t.Cleanup(func() { server.Stop(); <-stopped })
}

// Revision returns the revision of the last change.
func (m *testMember) Revision() uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.revision
}

// InScope returns all records of a scope.
func (m *testMember) InScope(scope records.Scope) records.View {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	view := records.View{Revision: m.revision, RoutingRevision: m.routingRevision}
	for _, record := range m.byKey {
		if scope.Contains(record) {
			view.Records = append(view.Records, record)
		}
	}
	return view
}

// Since reports that no delta is available.
func (m *testMember) Since(uint64, records.Scope) records.Delta { return records.Delta{} }

// set creates the next revision, which sets the given records and removes those whose spec is nil.
func (m *testMember) set(specs map[records.Key]any) uint64 {
	m.t.Helper()
	m.mutex.Lock()
	m.revision++
	revision := m.revision
	for key, spec := range specs {
		if key.Kind == records.KindRoute {
			m.routingRevision = revision
		}
		if spec == nil {
			delete(m.byKey, key)
			continue
		}
		record, err := records.New(key, spec)
		if err != nil {
			m.t.Fatal(err)
		}
		record.Revision = revision
		m.byKey[key] = record
	}
	m.mutex.Unlock()
	m.service.Committed(records.Change{Revision: revision})
	return revision
}

// twoRoutes returns the two routes of the installation. The prefix of the first one identifies the version.
func twoRoutes(prefix string) map[records.Key]any {
	return map[records.Key]any{
		{Kind: records.KindRoute, Name: "quote"}: records.RouteSpec{Prefix: prefix, TimeLimitMS: 2000},
		{Kind: records.KindRoute, Name: "issue"}: records.RouteSpec{Prefix: "/issue", TimeLimitMS: 2000, Mutating: true},
	}
}

func overrideRecord(node, state string) map[records.Key]any {
	return map[records.Key]any{{Kind: records.KindOverride, Name: node}: records.OverrideSpec{State: state}}
}

// A follower uses the routes of its own file until routes are agreed on, and the agreed ones from then on. It must
// reject a revision that it cannot use and keep the previous one, and must report when it is stale.
func TestFollowerUsesAgreedRoutes(t *testing.T) {
	in := newInstallation(t, "n-1", "n-2", "s-1")
	m := newTestMember(t, nil)
	in.configure(fmt.Sprintf("follow { member %q; }", m.address))
	in.start("harehook-xds", "conductor.kdl")
	log := in.logs["conductor.kdl"]
	address, _ := in.startSidecar("sidecar", "north", "delta")
	in.waitUntil("its own routes are in effect", isAnswering(address))
	serves := func(prefix string) func() bool {
		return func() bool {
			_, status := call(address, prefix, "")
			return status == http.StatusOK
		}
	}
	m.set(overrideRecord("n-9", records.StateGone)) // no route is agreed on yet, and the node is not listed
	m.set(twoRoutes("/v1"))
	in.waitUntil("the agreed routes are in effect", serves("/v1"))

	m.set(overrideRecord("n-1", records.StateGone))
	in.waitUntil("the node receives no calls", func() bool {
		for range 20 {
			if node, status := call(address, "/v1", ""); status != http.StatusOK || node == "n-1" {
				return false
			}
		}
		return true
	})

	rejectedRevision := m.set(map[records.Key]any{{Kind: records.KindRoute, Name: "third"}: records.RouteSpec{Prefix: "/third", TimeLimitMS: 9}})
	in.waitUntil("the member knows the rejected revision", func() bool {
		leases := m.service.Status().Leases
		return len(leases) == 1 && leases[0].RejectedRevision == rejectedRevision && leases[0].Accepted == rejectedRevision-1 &&
			strings.Contains(leases[0].Reason, `route "third" is not configured at conductor "c"`)
	})
	in.waitUntil("the follower logs the rejection", func() bool { return strings.Contains(log.String(), "revision rejected") })
	if !serves("/v1")() {
		t.Error("after a rejected revision: the call on the previous route failed, want it answered")
	}

	report := func() (report transport.FollowerReport, code int) {
		out, code := in.runCtl("--conductor", in.listen, "-o", "json", "following")
		if err := json.NewDecoder(strings.NewReader(out)).Decode(&report); err != nil { // a reason may follow
			t.Fatalf("following: got exit code %d and %q, want JSON: %v", code, out, err)
		}
		return report, code
	}
	if got, code := report(); code != 0 || got.Stale || got.Revision != rejectedRevision-1 || got.Rejected == 0 || got.Member != m.address {
		t.Errorf("following: got exit code %d and %+v, want 0 and a rejection by a fresh follower of %s at revision %d",
			code, got, m.address, rejectedRevision-1)
	}
	m.server.Stop()
	in.waitUntil("the follower logs that its lease expired", func() bool { return strings.Contains(log.String(), "lease expired, keeping") })
	if got, code := report(); code != 1 || !got.Stale || got.Revision != rejectedRevision-1 {
		t.Errorf("following: got exit code %d and %+v, want 1 and a stale follower at revision %d", code, got, rejectedRevision-1)
	}
	if !serves("/v1")() {
		t.Error("stale follower: the call on the last accepted route failed, want it answered")
	}
	m.start()
	in.waitUntil("the follower is no longer stale", func() bool { _, code := report(); return code == 0 })
}

// acceptedRoutingRevision returns the routing revision in the resource cache of a sidecar, 0 if there is none.
func (in *installation) acceptedRoutingRevision(name string) uint64 {
	cache := &sidecar.ResourceCache{ID: name}
	if (&sidecar.Store{Path: filepath.Join(in.folder, name+".held")}).Load(cache) != nil {
		return 0
	}
	return cache.RoutingRevision()
}

// Sidecars reject routes of a lower version than they have accepted, even from another controller. Controllers that
// have received different revisions must therefore give the same routes the same version: the revision at which one of
// them last changed.
func TestFollowersGiveRoutesTheSameVersion(t *testing.T) {
	in := newInstallation(t, "n-1", "n-2")
	m := newTestMember(t, nil)
	setTenant := func(share float64) uint64 {
		return m.set(map[records.Key]any{{Kind: records.KindTenant, Name: "tenant"}: records.TenantSpec{Service: "other", Share: share}})
	}
	setTenant(0.1)
	want := m.set(twoRoutes("/v1"))
	setTenant(0.2)
	in.configure(fmt.Sprintf("follow { member %q; }", m.address))
	stop := in.start("harehook-xds", "conductor.kdl")
	address, _ := in.startSidecar("sidecar", "north", "delta")
	acceptedRevision := func() uint64 { return in.acceptedRoutingRevision("sidecar") }
	in.waitUntil("the sidecar has accepted the agreed routes", func() bool {
		_, status := call(address, "/v1", "")
		return status == http.StatusOK && acceptedRevision() > 0
	})
	if got := acceptedRevision(); got != want {
		t.Errorf("version of the routes at the sidecar: got %d, want %d", got, want)
	}
	stop()
	setTenant(0.3)
	in.start("harehook-xds", "conductor.kdl")
	in.waitUntil("the sidecar is synced with the restarted controller", func() bool { return in.isSynced(1) })
	if got := acceptedRevision(); got != want {
		t.Errorf("version of the routes after a restart: got %d, want %d", got, want)
	}
}

// Most revisions change nothing that sidecars need. Sidecars must receive only the revisions that change routes.
func TestFollowerSendsOnlyChangedRoutes(t *testing.T) {
	in := newInstallation(t, "n-1", "n-2")
	m := newTestMember(t, nil)
	m.set(twoRoutes("/v1"))
	in.configure(fmt.Sprintf("follow { member %q; }", m.address))
	in.start("harehook-xds", "conductor.kdl")
	address, _ := in.startSidecar("sidecar", "north", "delta")
	in.waitUntil("the agreed routes are in effect", func() bool { _, status := call(address, "/v1", ""); return status == http.StatusOK })
	for share := range 5 {
		m.set(map[records.Key]any{{Kind: records.KindTenant, Name: "tenant"}: records.TenantSpec{Service: "other", Share: 0.1 + float64(share)/100}})
	}
	lastRevision := m.set(twoRoutes("/v2"))
	in.waitUntil("the next routes are in effect", func() bool { _, status := call(address, "/v2", ""); return status == http.StatusOK })
	var appliedLines []string
	for line := range strings.SplitSeq(in.logs["conductor.kdl"].String(), "\n") {
		if strings.Contains(line, "revision applied") {
			appliedLines = append(appliedLines, line)
		}
	}
	if len(appliedLines) != 2 || !slices.ContainsFunc(appliedLines, func(line string) bool { return strings.Contains(line, fmt.Sprint(lastRevision)) }) {
		t.Errorf("got %d applied revisions, want 2 with revision %d:\n%s", len(appliedLines), lastRevision, strings.Join(appliedLines, "\n"))
	}
}

// Followers and members authenticate each other by certificates that the installation's roots have signed. A follower
// without a certificate must not be served.
func TestFollowersNeedTrustedCertificates(t *testing.T) {
	in := newInstallation(t, "n-1", "n-2")
	authority := fakeplatform.NewAuthority(t)
	certificate, key := authority.Issue("conductor", time.Now().Add(-time.Hour), time.Now().Add(time.Hour))
	files := certs.Files{Certificate: in.write("c.crt", string(certificate)), Key: in.write("c.key", string(key)),
		Roots: in.write("roots.pem", string(authority.Roots()))}
	reloader, err := certs.Load(files)
	if err != nil {
		t.Fatal(err)
	}
	m := newTestMember(t, reloader.ServerConfig())
	m.set(twoRoutes("/v1"))
	followSettings := fmt.Sprintf("follow { member %q; }", m.address)
	in.configure(followSettings)
	stop := in.start("harehook-xds", "conductor.kdl")
	in.waitUntil("the follower without a certificate logs a failed connection", func() bool {
		return strings.Contains(in.logs["conductor.kdl"].String(), "stream to member failed")
	})
	if live := m.service.Status().Live; live != 0 {
		t.Errorf("leases of followers without a certificate: got %d, want 0", live)
	}
	stop()
	in.configure(followSettings + `; keys certificate="c.crt" key="c.key" roots="roots.pem"`)
	in.start("harehook-xds", "conductor.kdl")
	in.waitUntil("the follower with a certificate has a lease", func() bool {
		status := m.service.Status()
		return status.Live == 1 && status.ConvergedRevision == 1
	})
}
