package logstore

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"
)

// partitionsPerTopic is the number of partitions of each topic in a group.
const partitionsPerTopic = 4

// group is a consumer group, which assigns the partitions of its topics to its
// members.
type group struct {
	generation int64
	members    map[string]*member
	owners     map[partitionKey]string
	committed  map[partitionKey]uint64
}

// member is a member of a group. It is removed at expires unless it joins
// again.
type member struct {
	expires time.Time
	topics  []string
}

type joinRequest struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTL        int64    `json:"ttl_ms"`
	Generation int64    `json:"generation"`
}

type joinResponse struct {
	Generation int64   `json:"generation"`
	TTL        int64   `json:"ttl_ms"`
	Parts      [][]any `json:"parts"`
}

type commitRequest struct {
	Group      string `json:"group"`
	Member     string `json:"member"`
	Generation int64  `json:"generation"`
	Topic      string `json:"topic"`
	Part       int    `json:"part"`
	Offset     uint64 `json:"offset"`
}

// getGroup returns the named group without its expired members. It creates the
// group on first use. The caller holds mu.
func (s *Server) getGroup(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{
			members:   make(map[string]*member),
			owners:    make(map[partitionKey]string),
			committed: make(map[partitionKey]uint64),
		}
		s.groups[name] = g
	}
	g.expireMembers(time.Now())
	return g
}

// expireMembers removes expired members and rebalances if there were any.
func (g *group) expireMembers(now time.Time) {
	expired := false
	for name, m := range g.members {
		if now.After(m.expires) {
			delete(g.members, name)
			expired = true
		}
	}
	if expired {
		g.rebalance()
	}
}

// rebalance starts a new generation and assigns the partitions evenly to the
// members.
func (g *group) rebalance() {
	g.generation++
	g.owners = make(map[partitionKey]string)
	names := slices.Sorted(maps.Keys(g.members))
	topics := make(map[string]bool)
	for _, m := range g.members {
		for _, topic := range m.topics {
			topics[topic] = true
		}
	}
	next := 0
	for _, topic := range slices.Sorted(maps.Keys(topics)) {
		for part := range partitionsPerTopic {
			if len(names) > 0 {
				g.owners[partitionKey{topic: topic, part: part}] = names[next%len(names)]
				next++
			}
		}
	}
}

// decodeBody decodes a JSON request body. On failure it responds with status
// 400 and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

// join adds a member, or extends its membership, and returns its partitions
// with their committed offsets.
func (s *Server) join(w http.ResponseWriter, r *http.Request) {
	var req joinRequest
	if !decodeBody(w, r, &req) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.getGroup(req.Group)
	m := g.members[req.Member]
	if m == nil {
		m = &member{topics: req.Topics}
		g.members[req.Member] = m
		g.rebalance()
	}
	m.expires = time.Now().Add(time.Duration(req.TTL) * time.Millisecond)
	out := joinResponse{Generation: g.generation, TTL: req.TTL, Parts: [][]any{}}
	for key, owner := range g.owners {
		if owner == req.Member {
			out.Parts = append(out.Parts, []any{key.topic, key.part, g.committed[key]})
		}
	}
	writeJSON(w, http.StatusOK, out)
}

// leave removes a member from its group.
func (s *Server) leave(w http.ResponseWriter, r *http.Request) {
	var req joinRequest
	if !decodeBody(w, r, &req) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.getGroup(req.Group)
	if g.members[req.Member] != nil {
		delete(g.members, req.Member)
		g.rebalance()
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// commit stores a committed offset. It refuses callers that don't own the
// partition or are of an older generation.
func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var req commitRequest
	if !decodeBody(w, r, &req) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.getGroup(req.Group)
	key := partitionKey{topic: req.Topic, part: req.Part}
	if g.owners[key] != req.Member || req.Generation < g.generation {
		writeJSON(w, http.StatusConflict, struct{}{})
		return
	}
	g.committed[key] = req.Offset
	writeJSON(w, http.StatusOK, struct{}{})
}

// owners serves the owner and the committed offset of each partition of a group.
func (s *Server) owners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.getGroup(r.URL.Query().Get("group"))
	rows := [][]any{}
	for key, owner := range g.owners {
		rows = append(rows, []any{key.topic, key.part, owner, g.committed[key]})
	}
	writeJSON(w, http.StatusOK, map[string]any{"parts": rows})
}
