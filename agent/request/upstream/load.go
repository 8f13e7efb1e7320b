package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// maxLoadBytes bounds the body of a load report.
const maxLoadBytes = 64 << 10

// Load is the load report of an engine.
type Load struct {
	inFlight       int
	inFlightTokens int64
	cold           bool
	incarnation    uint64
}

// InFlight returns the number of requests in the engine.
func (l Load) InFlight() int { return l.inFlight }

// InFlightTokens returns the prompt and generated tokens of these requests.
func (l Load) InFlightTokens() int64 { return l.inFlightTokens }

// Cold reports whether the engine reports itself cold.
func (l Load) Cold() bool { return l.cold }

// Incarnation identifies the engine's process.
func (l Load) Incarnation() uint64 { return l.incarnation }

// Load requests the load report of the engine. The error wraps ErrNotStarted
// when the engine refuses the connection.
func (c *Client) Load(ctx context.Context) (Load, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+"/load", nil)
	if err != nil {
		return Load{}, errors.Wrap(err, "build load request")
	}
	response, err := c.service.DoRequest(request)
	if err != nil {
		return Load{}, classify(err)
	}
	defer response.Body.Close()
	var body struct {
		Held        int    `json:"held"`
		HeldTokens  int64  `json:"heldTokens"`
		Cold        bool   `json:"cold"`
		Incarnation uint64 `json:"incarnation"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLoadBytes)).Decode(&body); err != nil {
		return Load{}, errors.Wrapf(ErrInterrupted, "decode load report: %v", err)
	}
	return Load{body.Held, body.HeldTokens, body.Cold, body.Incarnation}, nil
}
