package cluster

import (
	"cmp"
	"container/list"
	"slices"
)

// maxClients is how many clients' last proposals are remembered, by which a repeat is known.
const maxClients = 1024

// session is the last proposal of a client.
type session struct {
	Seq       uint64 `json:"seq"`
	Result    Result `json:"result"`
	LastIndex uint64 `json:"used"` // the place of the last command, by which the oldest is forgotten

	position *list.Element
}

// sessions are the clients that are remembered, the one whose last command is oldest first.
type sessions struct {
	byClient    map[string]*session
	byLastIndex *list.List // of names
}

func newSessions() sessions {
	return sessions{byClient: map[string]*session{}, byLastIndex: list.New()}
}

// touch notes that a client's last command is the one at a place of the log.
func (s *sessions) touch(one *session, index uint64) {
	one.LastIndex = index
	s.byLastIndex.MoveToBack(one.position)
}

// record takes a client's last proposal in and forgets the oldest client if there are too many.
func (s *sessions) record(client string, seq uint64, r Result, index uint64) {
	one := s.byClient[client]
	if one == nil {
		one = &session{position: s.byLastIndex.PushBack(client)}
		s.byClient[client] = one
	}
	one.Seq, one.Result = seq, r
	s.touch(one, index)
	if len(s.byClient) > maxClients {
		oldest := s.byLastIndex.Remove(s.byLastIndex.Front()).(string)
		delete(s.byClient, oldest)
	}
}

// restoreSessions makes sessions of those of a snapshot.
func restoreSessions(byClient map[string]*session) sessions {
	s := newSessions()
	names := make([]string, 0, len(byClient))
	for client := range byClient {
		names = append(names, client)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(byClient[a].LastIndex, byClient[b].LastIndex), cmp.Compare(a, b))
	})
	for _, client := range names {
		s.byClient[client] = byClient[client]
		byClient[client].position = s.byLastIndex.PushBack(client)
	}
	return s
}
