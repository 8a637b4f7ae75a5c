package cluster

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestLeastRecentlyUsedClientIsForgotten compares the sessions with a search for the oldest client at each command.
func TestLeastRecentlyUsedClientIsForgotten(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	s, plain := newSessions(), map[string]uint64{}
	for index := range uint64(20000) {
		client := fmt.Sprint(random.IntN(3 * maxClients))
		if one := s.byClient[client]; one != nil && random.IntN(2) == 0 {
			s.touch(one, index)
		} else {
			s.record(client, index, Result{}, index)
		}
		plain[client] = index
		if len(plain) > maxClients {
			oldest := client
			for other, used := range plain {
				if used < plain[oldest] {
					oldest = other
				}
			}
			delete(plain, oldest)
		}
		if index == 10000 {
			s = restoreSessions(s.byClient)
		}
	}
	if len(plain) != len(s.byClient) || s.byLastIndex.Len() != len(plain) {
		t.Fatalf("%d, %d and %d clients", len(plain), len(s.byClient), s.byLastIndex.Len())
	}
	for client, used := range plain {
		if one := s.byClient[client]; one == nil || one.LastIndex != used {
			t.Fatalf("client %s: %+v, used at %d", client, one, used)
		}
	}
}
