package group

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"goldcrestshore/core/process/check"
)

var (
	first  = Map{FencingToken: 1}
	change = Change{Epoch: 1, To: Map{FencingToken: 1, Version: 1}, Step: 3}
)

func newGroup(checks bool) *Group {
	return New(Settings{Ranks: 3, ChecksFencing: checks, Current: first})
}

// post sends an order to a rank's hook and returns the status.
func post(t *testing.T, h http.Handler, rank int, order string, o Order) int {
	t.Helper()
	body, err := json.Marshal(o)
	check.NoError(t, "encode order", err)
	w := httptest.NewRecorder()
	path := fmt.Sprintf("/ranks/%d/%s", rank, order)
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(string(body))))
	return w.Code
}

func state(t *testing.T, h http.Handler, rank int) State {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, fmt.Sprintf("/ranks/%d/state", rank), nil))
	check.Equal(t, "status", w.Code, http.StatusOK)
	var s State
	check.NoError(t, "decode state", json.Unmarshal(w.Body.Bytes(), &s))
	return s
}

// TestHoldStopsLockStep guards against a held rank that enters the held step, and
// against other ranks that run more than one step ahead of it.
func TestHoldStopsLockStep(t *testing.T) {
	g := newGroup(false)
	h := g.Handler()
	check.Equal(t, "hold", post(t, h, 0, "hold", Order{Change: change}), http.StatusNoContent)
	for range 5 {
		g.Advance()
	}
	check.Equal(t, "step of the held rank", state(t, h, 0).Step, 2)
	check.Equal(t, "step of another rank", state(t, h, 1).Step, 3)
	check.Equal(t, "release", post(t, h, 0, "release", Order{Change: change}), http.StatusNoContent)
	check.Equal(t, "ranks that enter", g.Advance(), 1)
	check.Equal(t, "mixed steps", g.MixedSteps(), 0)
}

// TestActivateChangesMap guards against a map that takes effect before its step, and
// against a mixed step that is not recorded.
func TestActivateChangesMap(t *testing.T) {
	for _, ranks := range []int{3, 2} {
		t.Run(fmt.Sprintf("%d ranks activate", ranks), func(t *testing.T) {
			g := newGroup(false)
			h := g.Handler()
			for r := range ranks {
				check.Equal(t, "hold", post(t, h, r, "hold", Order{Change: change}), http.StatusNoContent)
				check.Equal(t, "activate", post(t, h, r, "activate", Order{Change: change}), http.StatusNoContent)
			}
			g.Advance()
			g.Advance()
			check.Equal(t, "map before the step", state(t, h, 0).Current, first)
			g.Advance()
			check.Equal(t, "map in the step", state(t, h, 0).Current, change.To)
			check.Equal(t, "a mixed step is recorded", g.MixedSteps() > 0, ranks < 3)
		})
	}
}

// TestRefusedOrders guards against accepting orders with a stale token, for a step
// already entered, for an unknown rank or of an unknown kind.
func TestRefusedOrders(t *testing.T) {
	g := newGroup(true)
	h := g.Handler()
	check.Equal(t, "load", post(t, h, 1, "load", Order{FencingToken: 5, Load: Load{Slot: 2, Expert: 9}}), http.StatusNoContent)
	check.Equal(t, "loaded", g.Loads(1)[0], Load{Slot: 2, Expert: 9})
	check.Equal(t, "stale token", post(t, h, 1, "pause", Order{FencingToken: 4}), http.StatusConflict)
	check.Equal(t, "entered step", post(t, h, 1, "hold", Order{FencingToken: 5}), http.StatusGone)
	check.Equal(t, "unknown rank", post(t, h, 7, "pause", Order{FencingToken: 5}), http.StatusNotFound)
	check.Equal(t, "unknown order", post(t, h, 1, "unknown", Order{FencingToken: 5}), http.StatusNotFound)
}

// TestEnginesThatIgnoreTokens guards against a stand-in that checks fencing tokens
// although ChecksFencing is off.
func TestEnginesThatIgnoreTokens(t *testing.T) {
	g := newGroup(false)
	check.NoError(t, "order", g.Pause(0, true, 5))
	check.NoError(t, "order with a lower token", g.Pause(0, false, 4))
}
