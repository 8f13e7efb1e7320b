package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"goldcrestshore/core/process/check"
)

// Guards, in a planned stop under load, against connections that callers have opened
// and sent requests on, and that are reset because the entry had not accepted them yet.
func TestStopServesWaitingConnections(t *testing.T) {
	const callers = 20
	l, err := listenDraining("127.0.0.1:0")
	check.NoError(t, "listen", err)
	var conns []net.Conn
	for range callers {
		c, err := net.Dial("tcp", l.Addr().String())
		check.NoError(t, "Dial", err)
		defer c.Close()
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n")
		check.NoError(t, "write", err)
		conns = append(conns, c)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "served") })}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(l) }()
	l.drain()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(ctx) }()
	for i, c := range conns {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("response to caller %d: got error %v, want none", i, err)
		}
		check.Equal(t, "status", resp.StatusCode, http.StatusOK)
		_ = resp.Body.Close()
	}
	check.NoError(t, "Shutdown", <-stopped)
	_, err = net.Dial("tcp", l.Addr().String())
	check.Equal(t, "new connections are refused", err != nil, true)
}
