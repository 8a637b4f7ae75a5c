package cluster

import (
	"cmp"
	"container/list"
	"slices"
)

// maxClients is how many clients' last proposals are retained, by which a repeated one is known.
const maxClients = 1024

// session is the last proposal of a client. Its JSON is a part of the state's snapshot.
type session struct {
	Seq       uint64 `json:"seq"`
	Result    Result `json:"result"`
	LastIndex uint64 `json:"used"` // of the client's last command in the log; the client with the lowest is forgotten first

	position *list.Element // in sessions.byLastIndex
}

// sessions guards against a command that is carried out twice: who gets no answer proposes again, and both entries may
// be in the log. The second one gets the first one's result.
type sessions struct {
	byClient    map[string]*session
	byLastIndex *list.List // of names of clients, the one whose last command is oldest first
}

func newSessions() sessions {
	return sessions{byClient: map[string]*session{}, byLastIndex: list.New()}
}

// touch notes the index of a client's last command.
func (s *sessions) touch(client *session, index uint64) {
	client.LastIndex = index
	s.byLastIndex.MoveToBack(client.position)
}

// record notes a client's last proposal, and forgets the oldest client if there are too many.
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
		s.forgetOldest()
	}
}

func (s *sessions) forgetOldest() {
	oldest := s.byLastIndex.Front()
	name, _ := s.byLastIndex.Remove(oldest).(string)
	delete(s.byClient, name)
}

// restoreSessions makes sessions of those of a snapshot.
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
