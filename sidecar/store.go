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

// A stored file is storeHeader, the body's length in bytes as a little-endian uint64, its SHA-256 sum and the body: a
// DeltaDiscoveryResponse with the accepted resources. A resource without a message is a set's version, by the type's name.
const (
	storeHeader   = "harehook held 1\n" // the digit is the format's
	lengthBytes   = 8
	preambleBytes = len(storeHeader) + lengthBytes + sha256.Size
)

// Reasons for which a stored file is not used; [Store.Load] returns them with the path.
var (
	ErrStoreFormat    = errors.New("not a file of accepted resources, or of another format")
	ErrStoreTruncated = errors.New("cut short")
	ErrStoreChecksum  = errors.New("the checksum does not fit")
)

// Store persists the resources that a sidecar has accepted, in one file.
type Store struct {
	Path string
	// Step is called before each step of a write, for tests that crash there; nil: it is not.
	Step func(name string) error
}

// Save writes the accepted resources of a cache. After a crash at any time the file is the old or the new one.
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

// storedResources returns the accepted resources and the versions of sets.
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

// Load reads the stored resources into an empty cache. A missing file is no error. If the file is damaged
// ([ErrStoreFormat], [ErrStoreTruncated], [ErrStoreChecksum]) or has a resource that the cache rejects, the cache stays
// empty.
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

// storedBody returns the body of a stored file, or why it is damaged.
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

// storedSet is what a stored file has of one resource type.
type storedSet struct {
	bodies     []*anypb.Any
	versions   map[string]string // by name; nil: no resource
	setVersion string
}

// restore accepts stored resources, by the same rules as received ones. After an error the cache is empty.
func (c *ResourceCache) restore(stored *discoveryv3.DeltaDiscoveryResponse) error {
	sets, err := storedSets(stored)
	if err != nil {
		return err
	}
	for t := range xds.NumResourceTypes {
		parsed, fault := c.parseResources(t, sets[t].bodies, sets[t].versions)
		if fault != nil {
			c.Clear()
			return fault
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
			return sets, fmt.Errorf("a resource of type %q", resource.GetResource().GetTypeUrl())
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
