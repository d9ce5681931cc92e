package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row in the form of the wire.
type row struct {
	Table   string `json:"Table"`
	Part    string `json:"part"`
	Key     string `json:"Key"`
	Value   []byte `json:"Value,omitempty"`
	Ver     uint64 `json:"Ver"`
	Removed bool   `json:"Removed,omitempty"`
}

// rowsReply is the reply to each call.
type rowsReply struct {
	Rows    []row  `json:"Rows"`
	HasMore bool   `json:"HasMore"`
	Ver     uint64 `json:"Ver"`
	NowMs   int64  `json:"NowMs"`
}

// maxRows is the largest number of rows in a reply.
const maxRows = 500

// Store is the platform's metadata store. Each host reaches it at an address of its own,
// so that it can turn one of them away.
type Store struct {
	mu      sync.Mutex
	start   time.Time
	rows    map[[2]string]row
	history []row
	ver     uint64
	changed chan struct{}
	// away holds the doors at which the store turns callers away with 503.
	away map[string]bool
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{start: time.Now(), rows: map[[2]string]row{}, changed: make(chan struct{}), away: map[string]bool{}}
}

// Door opens an address of the store for a host.
func (s *Store) Door(host string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("no free port for the store: %v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+name["get"], s.get)
	mux.HandleFunc("GET "+name["feed"], func(w http.ResponseWriter, r *http.Request) { s.feed(w, r, host) })
	mux.HandleFunc("POST "+name["tx"], s.transact)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(name["era"], "1")
			if s.isAway(host) {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			mux.ServeHTTP(w, r)
		}))
	}()
	return l.Addr().String()
}

func (s *Store) isAway(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away[host]
}

// TurnAway makes the store turn a host away, or serve it again.
func (s *Store) TurnAway(host string, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away[host] = away
	s.wake()
}

// Put writes a row as the operator and the workers do, as JSON.
func (s *Store) Put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		fail("encode a row: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(row{Table: table, Key: key, Value: b, Ver: s.ver})
}

// Remove removes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(row{Table: table, Key: key, Ver: s.ver, Removed: true})
}

// set applies a change. The caller holds mu.
func (s *Store) set(r row) {
	k := [2]string{r.Table, r.Key}
	if r.Removed {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) reply(rows []row) rowsReply {
	if rows == nil {
		rows = []row{}
	}
	return rowsReply{Rows: rows, Ver: s.ver, NowMs: time.Since(s.start).Milliseconds()}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("Limit"))
	if err != nil || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for k, v := range s.rows {
		if k[0] == q.Get("Table") && k[1] >= q.Get("From") && (q.Get("To") == "" || k[1] < q.Get("To")) {
			rows = append(rows, v)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	out := s.reply(rows[:min(limit, len(rows))])
	out.HasMore = len(rows) > limit
	writeJSON(w, http.StatusOK, out)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request, host string) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("WaitMs"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	for last := false; ; {
		s.mu.Lock()
		var rows []row
		for _, h := range s.history {
			if h.Table == q.Get("Table") && h.Ver > after {
				rows = append(rows, h)
			}
		}
		out, changed, away := s.reply(rows), s.changed, s.away[host]
		s.mu.Unlock()
		switch {
		case away:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case len(rows) > 0 || last:
			writeJSON(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-end:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct{ Expected, Writes, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	differs := false
	for _, e := range tx.Expected {
		have := s.rows[[2]string{e.Table, e.Key}]
		differs = differs || have.Ver != e.Ver
		if have.Ver > 0 {
			current = append(current, have)
		}
	}
	if differs {
		writeJSON(w, http.StatusPreconditionFailed, s.reply(current))
		return
	}
	s.ver++
	for _, v := range tx.Writes {
		s.set(row{Table: v.Table, Part: v.Part, Key: v.Key, Value: v.Value, Ver: s.ver})
	}
	for _, v := range tx.Remove {
		s.set(row{Table: v.Table, Part: v.Part, Key: v.Key, Ver: s.ver, Removed: true})
	}
	writeJSON(w, http.StatusOK, s.reply(nil))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has left
}
