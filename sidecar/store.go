package sidecar

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"harehook.dev/harehook/xds"
)

// storeHeader begins a file of held versions; the digit is the format's.
const storeHeader = "harehook held 1\n"

// Store keeps what a sidecar accepted in one file. A write goes to a file beside it that is synced before it takes the
// old one's place, so that a crash leaves the old or the new one whole.
type Store struct {
	Path string
	// Step is called before each step of a write, for tests that crash there; nil: nothing is.
	Step func(name string) error
}

// Save writes what a holder holds.
func (s *Store) Save(h *ResourceCache) error {
	var all discoveryv3.DeltaDiscoveryResponse
	for kind := range xds.NumResourceTypes {
		for name, held := range h.accepted[kind] {
			all.Resources = append(all.Resources, &discoveryv3.Resource{Name: name, Version: held.Version, Resource: held.Body})
		}
		if h.setVersions[kind] != "" {
			// The version of a whole kind, by the kind's name.
			all.Resources = append(all.Resources, &discoveryv3.Resource{Name: kind.TypeURL(), Version: h.setVersions[kind]})
		}
	}
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(&all)
	if err != nil {
		return err
	}
	sum := sha256.Sum256(body)
	text := append([]byte(storeHeader), binary.LittleEndian.AppendUint64(nil, uint64(len(body)))...)
	text = append(append(text, sum[:]...), body...)
	return s.write(text)
}

func (s *Store) write(text []byte) (err error) {
	beside := s.Path + ".new"
	step := func(name string) error {
		if s.Step != nil {
			return s.Step(name)
		}
		return nil
	}
	if err := step("create"); err != nil {
		return err
	}
	f, err := os.OpenFile(beside, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	if err := step("write"); err != nil {
		f.Write(text[:len(text)/2])
		return err
	}
	if _, err := f.Write(text); err != nil {
		return err
	}
	if err := step("sync"); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	if err := step("rename"); err != nil {
		return err
	}
	if err := os.Rename(beside, s.Path); err != nil {
		return err
	}
	if err := step("sync folder"); err != nil {
		return err
	}
	folder, err := os.Open(filepath.Dir(s.Path))
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// Load reads what was held last into a holder that holds nothing. What can't be read whole, or would be refused by
// now, is not taken: the sidecar then begins with nothing and says so.
func (s *Store) Load(h *ResourceCache) error {
	text, err := os.ReadFile(s.Path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	} else if err != nil {
		return err
	}
	head := len(storeHeader) + 8 + sha256.Size
	if !bytes.HasPrefix(text, []byte(storeHeader)) {
		return fmt.Errorf("%s: not a file of held versions, or of another format", s.Path)
	}
	if len(text) < head || binary.LittleEndian.Uint64(text[len(storeHeader):]) != uint64(len(text)-head) {
		return fmt.Errorf("%s: cut short", s.Path)
	}
	body := text[head:]
	if sum := sha256.Sum256(body); !bytes.Equal(sum[:], text[head-sha256.Size:head]) {
		return fmt.Errorf("%s: the checksum does not fit", s.Path)
	}
	var all discoveryv3.DeltaDiscoveryResponse
	if err := proto.Unmarshal(body, &all); err != nil {
		return fmt.Errorf("%s: %w", s.Path, err)
	}
	var bodies [xds.NumResourceTypes][]*anypb.Any
	var versions [xds.NumResourceTypes]map[string]string
	var sets [xds.NumResourceTypes]string
	for _, r := range all.GetResources() {
		if kind, whole := xds.ParseTypeURL(r.GetName()); whole && r.GetResource() == nil {
			sets[kind] = r.GetVersion()
			continue
		}
		kind, known := xds.ParseTypeURL(r.GetResource().GetTypeUrl())
		if !known {
			return fmt.Errorf("%s: a resource of type %q", s.Path, r.GetResource().GetTypeUrl())
		}
		if versions[kind] == nil {
			versions[kind] = map[string]string{}
		}
		bodies[kind] = append(bodies[kind], r.GetResource())
		versions[kind][r.GetName()] = r.GetVersion()
	}
	for kind := range xds.NumResourceTypes {
		held, fault := h.parseResources(kind, bodies[kind], versions[kind])
		if fault != nil {
			h.Clear()
			return fmt.Errorf("%s: %w", s.Path, fault)
		}
		h.accepted[kind], h.setVersions[kind] = held, sets[kind]
	}
	h.table = nil
	return nil
}
