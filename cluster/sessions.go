package cluster

import (
	"cmp"
	"container/list"
	"slices"
)

// maxClients is the number of clients whose last proposal is retained to detect repeated proposals.
const maxClients = 1024

// session holds the last proposal of a client. Its JSON encoding is part of the state's snapshot.
type session struct {
	Seq       uint64 `json:"seq"`
	Result    Result `json:"result"`
	LastIndex uint64 `json:"used"` // index of the client's last log entry; the client with the lowest is evicted first

	position *list.Element // in sessions.byLastIndex
}

// sessions guards against executing a command twice: a client that gets no response proposes the command again, and
// both entries may be in the log. The second one gets the result of the first one.
type sessions struct {
	byClient    map[string]*session
	byLastIndex *list.List // client names, ordered by LastIndex, lowest first
}

func newSessions() sessions {
	return sessions{byClient: map[string]*session{}, byLastIndex: list.New()}
}

// touch sets the index of a client's last command.
func (s *sessions) touch(client *session, index uint64) {
	client.LastIndex = index
	s.byLastIndex.MoveToBack(client.position)
}

// record stores a client's last proposal, and evicts the least recently used client if there are more than maxClients.
func (s *sessions) record(name string, seq uint64, result Result, index uint64) {
	client := s.byClient[name]
	if client == nil {
		client = &session{position: s.byLastIndex.PushBack(name)}
		s.byClient[name] = client
	}
	client.Seq = seq
	client.Result = result
	s.touch(client, index)
	if len(s.byClient) > maxClients {
		s.evictOldest()
	}
}

func (s *sessions) evictOldest() {
	oldest := s.byLastIndex.Front()
	name, _ := s.byLastIndex.Remove(oldest).(string)
	delete(s.byClient, name)
}

// restoreSessions creates sessions from those of a snapshot.
func restoreSessions(byClient map[string]*session) sessions {
	s := newSessions()
	names := make([]string, 0, len(byClient))
	for name := range byClient {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(byClient[a].LastIndex, byClient[b].LastIndex), cmp.Compare(a, b))
	})
	for _, name := range names {
		client := byClient[name]
		client.position = s.byLastIndex.PushBack(name)
		s.byClient[name] = client
	}
	return s
}
