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
	Seq    uint64 `json:"seq"`
	Result Result `json:"result"`
	Used   uint64 `json:"used"` // the place of the last command, by which the oldest is forgotten

	recent *list.Element
}

// sessions are the clients that are remembered, the one whose last command is oldest first.
type sessions struct {
	byClient map[string]*session
	recent   *list.List // of names
}

func newSessions() sessions {
	return sessions{byClient: map[string]*session{}, recent: list.New()}
}

// use notes that a client's last command is the one at a place of the log.
func (s *sessions) use(one *session, index uint64) {
	one.Used = index
	s.recent.MoveToBack(one.recent)
}

// remember takes a client's last proposal in and forgets the oldest client if there are too many.
func (s *sessions) remember(client string, seq uint64, r Result, index uint64) {
	one := s.byClient[client]
	if one == nil {
		one = &session{recent: s.recent.PushBack(client)}
		s.byClient[client] = one
	}
	one.Seq, one.Result = seq, r
	s.use(one, index)
	if len(s.byClient) > maxClients {
		oldest := s.recent.Remove(s.recent.Front()).(string)
		delete(s.byClient, oldest)
	}
}

// restored makes sessions of those of a snapshot.
func restored(byClient map[string]*session) sessions {
	s := newSessions()
	names := make([]string, 0, len(byClient))
	for client := range byClient {
		names = append(names, client)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(byClient[a].Used, byClient[b].Used), cmp.Compare(a, b))
	})
	for _, client := range names {
		s.byClient[client] = byClient[client]
		byClient[client].recent = s.recent.PushBack(client)
	}
	return s
}
