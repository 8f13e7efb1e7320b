package group

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxOrderBytes limits the body of an order.
const maxOrderBytes = 4096

// Order is the request body of a hook. A hook reads only the fields that it needs.
type Order struct {
	FencingToken uint64 `json:"fence"`
	Change       Change `json:"change"`
	Load         Load   `json:"load"`
}

// hooks maps the last path element of an order to its hook.
var hooks = map[string]func(g *Group, rank int, o Order) error{
	"hold":     func(g *Group, rank int, o Order) error { return g.Hold(rank, o.Change, o.FencingToken) },
	"release":  func(g *Group, rank int, o Order) error { return g.Release(rank, o.Change, o.FencingToken) },
	"activate": func(g *Group, rank int, o Order) error { return g.Activate(rank, o.Change, o.FencingToken) },
	"pause":    func(g *Group, rank int, o Order) error { return g.Pause(rank, true, o.FencingToken) },
	"resume":   func(g *Group, rank int, o Order) error { return g.Pause(rank, false, o.FencingToken) },
	"load":     func(g *Group, rank int, o Order) error { return g.Load(rank, o.Load, o.FencingToken) },
}

// Handler serves GET /ranks/{rank}/state and POST /ranks/{rank}/{order}. It
// responds with 404 for an unknown rank or order, 409 for a stale fencing token and
// 410 for a step that the rank has entered.
func (g *Group) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ranks/{rank}/state", g.serveState)
	mux.HandleFunc("POST /ranks/{rank}/{order}", g.serveOrder)
	return mux
}

func (g *Group) serveState(w http.ResponseWriter, r *http.Request) {
	rank, err := strconv.Atoi(r.PathValue("rank"))
	if err != nil {
		http.Error(w, "rank is not a number", http.StatusNotFound)
		return
	}
	s, err := g.State(rank)
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// Encoding only fails if the client has disconnected.
	_ = json.NewEncoder(w).Encode(s)
}

func (g *Group) serveOrder(w http.ResponseWriter, r *http.Request) {
	hook, known := hooks[r.PathValue("order")]
	rank, err := strconv.Atoi(r.PathValue("rank"))
	if !known || err != nil {
		http.Error(w, "unknown rank or order", http.StatusNotFound)
		return
	}
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&o); err != nil {
		http.Error(w, "malformed order", http.StatusBadRequest)
		return
	}
	if err := hook(g, rank, o); err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, ErrStaleToken):
		return http.StatusConflict
	case errors.Is(err, ErrStepEntered):
		return http.StatusGone
	case errors.Is(err, ErrUnknownRank):
		return http.StatusNotFound
	}
	return http.StatusInternalServerError
}
