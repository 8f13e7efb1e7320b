package forward

import (
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"goldcrestshore/entry/connection/upstream"
	"goldcrestshore/entry/request/balance"
	"goldcrestshore/entry/request/body"
)

// verdict is the outcome of an attempt with its cause, which is empty for a success.
type verdict struct {
	outcome balance.Outcome
	cause   string
}

// verdictOfError returns the verdict on an attempt that got no response.
func verdictOfError(err error) verdict {
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		return verdict{balance.Failed, "connect"}
	case errors.Is(err, upstream.ErrStalled):
		return verdict{balance.Failed, "stalled"}
	case errors.Is(err, upstream.ErrMalformed):
		return verdict{balance.Failed, "malformed"}
	}
	return verdict{balance.Unclear, "broken"}
}

// verdictOfBody returns the verdict on an attempt whose response could not be read to its end. A body that
// the entry has no room for says nothing about its upstream.
func verdictOfBody(err error) verdict {
	switch {
	case errors.Is(err, body.ErrTooLarge):
		return verdict{balance.Abandoned, "bodyTooLarge"}
	case errors.Is(err, body.ErrMemoryFull):
		return verdict{balance.Abandoned, "bodyGaveWay"}
	}
	return verdict{balance.Unclear, "torn"}
}

// verdictOfHead returns the verdict on an attempt by the head of its response. Its outcome is Succeeded if
// the body decides.
func (c *call) verdictOfHead(resp *upstream.ResponseReader) verdict {
	h := c.server.Headers
	cause := strconv.Itoa(resp.Status)
	switch {
	case resp.Status == http.StatusMisdirectedRequest && c.request.hasPrecondition:
		return verdict{balance.Unmet, "refused" + cause}
	case resp.Status == http.StatusMisdirectedRequest:
		return verdict{balance.Misdirected, "refused" + cause}
	case resp.Header.Get(h.NotRun) != "":
		return verdict{balance.Refused, "refused" + cause}
	case !c.request.retryable() && promisesNotRun(resp.Status):
		return verdict{balance.Unclear, "status" + cause}
	case resp.Header.Get("Content-Encoding") != "":
		return verdict{balance.Unclear, "encoded"}
	case resp.Status >= 200 && resp.Status < 300 && resp.Header.Get(h.Signature) == "":
		return verdict{balance.Failed, "unsigned"}
	}
	return verdict{outcome: balance.Succeeded}
}

// verdictOfStatus returns the verdict on an attempt whose response is whole.
func verdictOfStatus(status int) verdict {
	if status >= http.StatusInternalServerError {
		return verdict{balance.Unclear, "status" + strconv.Itoa(status)}
	}
	return verdict{outcome: balance.Succeeded}
}

// promisesNotRun reports whether callers take the status for a promise that the request has
// not run and never will. Without Headers.NotRun an upstream does not promise that, so that a
// request which must not run twice cannot get the status.
func promisesNotRun(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}
