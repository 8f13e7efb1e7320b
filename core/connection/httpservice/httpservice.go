// Package httpservice builds the HTTP services by which clients of the project call the
// platform, upstreams and ranks.
package httpservice

import (
	"net/http"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest/httpc"
)

// maxHeadBytes bounds the head of a response: a peer in trouble may send bytes without end.
const maxHeadBytes = 64 << 10

// New returns a service that calls through a client, whose transport it completes. It requests
// bodies without encoding and bounds the heads of responses. After a call without a response it
// closes idle connections, and it fails calls whose response has no status of the protocol. The
// circuit breaker of httpc is disabled, because it would refuse a call due to the failures of
// others, and so is the log of go-zero, which would mix with the numbered events of the process.
func New(name string, client *http.Client, transport *http.Transport) httpc.Service {
	breaker.NoBreakerFor(name)
	logx.Disable()
	transport.DisableCompression = true
	transport.MaxResponseHeaderBytes = maxHeadBytes
	client.Transport = &statusTransport{&freshTransport{transport}}
	return httpc.NewServiceWithClient(name, client)
}
