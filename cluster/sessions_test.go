package cluster

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestLeastRecentlyUsedClientIsEvicted compares the sessions with a reference that searches all clients for
// the least recently used one at each command.
func TestLeastRecentlyUsedClientIsEvicted(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	s, reference := newSessions(), map[string]uint64{}
	for index := range uint64(20000) {
		client := fmt.Sprint(random.IntN(3 * maxClients))
		if existing := s.byClient[client]; existing != nil && random.IntN(2) == 0 {
			s.touch(existing, index)
		} else {
			s.record(client, index, Result{}, index)
		}
		reference[client] = index
		if len(reference) > maxClients {
			oldest := client
			for other, lastIndex := range reference {
				if lastIndex < reference[oldest] {
					oldest = other
				}
			}
			delete(reference, oldest)
		}
		if index == 10000 {
			s = restoreSessions(s.byClient)
		}
	}
	if len(reference) != len(s.byClient) || s.byLastIndex.Len() != len(reference) {
		t.Fatalf("got %d clients by name and %d by last index, want %d", len(s.byClient), s.byLastIndex.Len(), len(reference))
	}
	for client, lastIndex := range reference {
		if existing := s.byClient[client]; existing == nil || existing.LastIndex != lastIndex {
			t.Fatalf("client %s: got session %+v, want last index %d", client, existing, lastIndex)
		}
	}
}
