package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// Dimensions of the group of the model replicas.
const (
	groupRanks = 4
	sets       = 4
	experts    = 24
	// picksPerToken is how many experts of a set a token goes to.
	picksPerToken = 8
	promptTokens  = 400
	outputTokens  = 40
)

// group is what the ranks of a group have in common. All run map 0, and requests choose all experts
// evenly, so that no owner has a reason to change the map.
type group struct {
	mu    sync.Mutex
	began time.Time
}

// step returns the last pass that the group has begun.
func (g *group) step() int64 { return time.Since(g.began).Milliseconds() / 20 }

// rank is the part of a replica that belongs to a group.
type rank struct {
	group  *group
	number int
	// spoilLists is the number of answers to GET /picked?lists that have a wrong byte.
	spoilLists int

	mu     sync.Mutex
	tokens int64
	// answers and spoiled count the answers to agents and owners.
	answers, spoiled int
}

func (k *rank) addTokens(n int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tokens += n
}

// lists returns the experts of the rank by set in map 0, which assigns experts in turn.
func (k *rank) lists() [][]int {
	out := make([][]int, sets)
	for s := range out {
		for e := k.number; e < experts; e += groupRanks {
			out[s] = append(out[s], e)
		}
	}
	return out
}

// serveRank answers the calls of agents and owners. It reports false for other calls.
func (r *replica) serveRank(w http.ResponseWriter, q *http.Request) bool {
	k := r.rank
	if k == nil {
		return false
	}
	k.mu.Lock()
	k.answers++
	k.mu.Unlock()
	switch q.URL.Path {
	case "/report":
		respond(w, 200, map[string]any{
			"phase": "prefill_decode", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "sequence": 0,
			"queued": 0, "running": len(r.busy), "kv_used": 0, "kv_total": 280000, "handles": 0, "pace": 1, "born": r.born,
			"group": map[string]any{"name": "g", "epoch": 1, "rank": k.number, "state": "open"}, "size": groupRanks,
			"step": k.group.step(), "map": 0, "prepared": nil, "armed": nil, "held": nil,
		})
	case "/picked":
		if !q.URL.Query().Has("lists") {
			k.mu.Lock()
			each := k.tokens * picksPerToken / experts
			k.mu.Unlock()
			counts := make([]int64, sets*experts)
			for i := range counts {
				counts[i] = each
			}
			respond(w, 200, map[string]any{"step": k.group.step(), "epoch": 1, "counts": counts, "born": r.born})
			return true
		}
		lists := k.lists()
		k.mu.Lock()
		if r.world.trouble && k.spoilLists > 0 {
			k.spoilLists--
			k.spoiled++
			last := &lists[0][len(lists[0])-1]
			r.world.record("replica %s spoils a byte of its answer to GET /picked?%s: %d instead of %d", r.id, q.URL.RawQuery, *last+60, *last)
			*last += 60
		}
		k.mu.Unlock()
		respond(w, 200, map[string]any{"map": map[string]any{"version": 0, "experts": lists}, "prepared": nil, "born": r.born})
	case "/order":
		respond(w, http.StatusConflict, map[string]any{"born": r.born})
	default:
		return false
	}
	return true
}

func isStream(path string) bool {
	return strings.HasPrefix(path, "/draft/") || strings.HasPrefix(path, "/letter/")
}
