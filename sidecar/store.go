package sidecar

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"os"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"harehook.dev/harehook/xds"
)

// A store file consists of storeHeader, the body's length in bytes as a little-endian uint64, the body's SHA-256
// checksum and the body: a DeltaDiscoveryResponse with the accepted resources. A resource without a body holds the
// version of the whole set of a type, and its name is the type URL.
const (
	storeHeader   = "harehook held 1\n" // the digit is the format version
	lengthBytes   = 8
	preambleBytes = len(storeHeader) + lengthBytes + sha256.Size
)

// [Store.Load] returns these errors, wrapped with the path, for a store file that is damaged or of another format.
var (
	ErrStoreFormat    = errors.New("not a store file, or a store file of another format version")
	ErrStoreTruncated = errors.New("store file is truncated or has trailing bytes")
	ErrStoreChecksum  = errors.New("store file has a wrong checksum")
)

// Store persists the accepted resources of a sidecar in one file.
type Store struct {
	Path string
	// Step, if not nil, is called before each step of a write. Tests use it to simulate a crash at that step.
	Step func(name string) error
}

// Save writes the accepted resources of a cache. A crash at any time leaves either the old or the new file, complete.
func (s *Store) Save(cache *ResourceCache) error {
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(cache.storedResources())
	if err != nil {
		return err
	}
	sum := sha256.Sum256(body)
	content := make([]byte, 0, preambleBytes+len(body))
	content = append(content, storeHeader...)
	content = binary.LittleEndian.AppendUint64(content, uint64(len(body)))
	content = append(content, sum[:]...)
	content = append(content, body...)
	return s.replaceFile(content)
}

// storedResources returns the accepted resources and the versions of the sets, in the form in which they are stored.
func (c *ResourceCache) storedResources() *discoveryv3.DeltaDiscoveryResponse {
	stored := &discoveryv3.DeltaDiscoveryResponse{}
	for t := range xds.NumResourceTypes {
		for name, resource := range c.accepted[t] {
			stored.Resources = append(stored.Resources, &discoveryv3.Resource{
				Name:     name,
				Version:  resource.Version,
				Resource: resource.Body,
			})
		}
		if c.setVersions[t] != "" {
			stored.Resources = append(stored.Resources, &discoveryv3.Resource{Name: t.TypeURL(), Version: c.setVersions[t]})
		}
	}
	return stored
}

// Load reads the stored resources into an empty cache. A missing file is not an error. If the file is damaged
// ([ErrStoreFormat], [ErrStoreTruncated], [ErrStoreChecksum]) or contains a resource that the cache rejects, Load
// returns an error and the cache stays empty.
func (s *Store) Load(cache *ResourceCache) error {
	content, err := os.ReadFile(s.Path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	body, err := storedBody(content)
	if err != nil {
		return fmt.Errorf("%s: %w", s.Path, err)
	}
	var stored discoveryv3.DeltaDiscoveryResponse
	if err := proto.Unmarshal(body, &stored); err != nil {
		return fmt.Errorf("%s: %w", s.Path, err)
	}
	if err := cache.restore(&stored); err != nil {
		return fmt.Errorf("%s: %w", s.Path, err)
	}
	return nil
}

// storedBody returns the body of a store file, or an error if the file is damaged.
func storedBody(content []byte) ([]byte, error) {
	if !bytes.HasPrefix(content, []byte(storeHeader)) {
		return nil, ErrStoreFormat
	}
	if len(content) < preambleBytes {
		return nil, ErrStoreTruncated
	}
	body := content[preambleBytes:]
	length := binary.LittleEndian.Uint64(content[len(storeHeader):])
	if length != uint64(len(body)) {
		return nil, ErrStoreTruncated
	}
	sum := sha256.Sum256(body)
	if !bytes.Equal(sum[:], content[preambleBytes-sha256.Size:preambleBytes]) {
		return nil, ErrStoreChecksum
	}
	return body, nil
}

// storedSet holds the stored resources of one type.
type storedSet struct {
	bodies     []*anypb.Any
	versions   map[string]string // by name; nil if there are no resources
	setVersion string
}

// restore validates and accepts stored resources like received ones. If it returns an error, the cache is empty.
func (c *ResourceCache) restore(stored *discoveryv3.DeltaDiscoveryResponse) error {
	sets, err := storedSets(stored)
	if err != nil {
		return err
	}
	for t := range xds.NumResourceTypes {
		parsed, rejection := c.parseResources(t, sets[t].bodies, sets[t].versions)
		if rejection != nil {
			c.Clear()
			return rejection
		}
		c.accepted[t] = parsed
		c.setVersions[t] = sets[t].setVersion
	}
	c.table = nil
	return nil
}

// storedSets groups stored resources by type.
func storedSets(stored *discoveryv3.DeltaDiscoveryResponse) (sets [xds.NumResourceTypes]storedSet, err error) {
	for _, resource := range stored.GetResources() {
		setType, isSetVersion := xds.ParseTypeURL(resource.GetName())
		if isSetVersion && resource.GetResource() == nil {
			sets[setType].setVersion = resource.GetVersion()
			continue
		}
		t, known := xds.ParseTypeURL(resource.GetResource().GetTypeUrl())
		if !known {
			return sets, fmt.Errorf("unknown resource type %q", resource.GetResource().GetTypeUrl())
		}
		set := &sets[t]
		if set.versions == nil {
			set.versions = map[string]string{}
		}
		set.bodies = append(set.bodies, resource.GetResource())
		set.versions[resource.GetName()] = resource.GetVersion()
	}
	return sets, nil
}
