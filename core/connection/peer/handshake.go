package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/frame"
)

// ErrAuthentication reports a peer that failed to prove that it has the shared key.
var ErrAuthentication = errors.New("peer failed authentication")

const nonceBytes = 16

// maxHandshakeBytes bounds the frames of a peer that has not proved yet that it has the shared key.
const maxHandshakeBytes = 4 << 10

// The labels make the proofs of the two sides differ, so that a peer cannot
// authenticate by reflecting a proof to the side that made it.
const (
	dialerLabel   = "goldcrest dialer"
	listenerLabel = "goldcrest listener"
)

// handshake exchanges hello and proof frames over a new connection and returns
// the peer's identity. The dialer sends its proof first, so that a listener never
// sends a proof to a process without the key.
func handshake(conn net.Conn, self Identity, key []byte, isDialer bool) (Identity, error) {
	localHello, err := newHello(self)
	if err != nil {
		return Identity{}, err
	}
	localBytes, err := writeFrame(conn, localHello)
	if err != nil {
		return Identity{}, errors.Wrap(err, "send hello")
	}
	peerHello, peerBytes, err := receiveHello(conn)
	if err != nil {
		return Identity{}, err
	}
	if isDialer {
		err = proveAsDialer(conn, key, localBytes, peerBytes)
	} else {
		err = proveAsListener(conn, key, peerBytes, localBytes)
	}
	if err != nil {
		return Identity{}, err
	}
	return Identity{peerHello.Role(), peerHello.Instance(), peerHello.DataCentre(), peerHello.Incarnation()}, nil
}

func newHello(self Identity) (*frame.Hello, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, errors.Wrap(err, "generate nonce")
	}
	return frame.NewHello(self.role, self.instance, self.dataCentre, self.incarnation, nonce), nil
}

func proveAsDialer(conn net.Conn, key, dialerHello, listenerHello []byte) error {
	if _, err := writeFrame(conn, frame.NewProof(proofMAC(key, dialerLabel, dialerHello, listenerHello))); err != nil {
		return errors.Wrap(err, "send proof")
	}
	err := verifyProof(conn, proofMAC(key, listenerLabel, dialerHello, listenerHello))
	if errors.Is(err, io.EOF) {
		return errors.Wrap(ErrAuthentication, "listener closed the connection after the proof")
	}
	return err
}

func proveAsListener(conn net.Conn, key, dialerHello, listenerHello []byte) error {
	if err := verifyProof(conn, proofMAC(key, dialerLabel, dialerHello, listenerHello)); err != nil {
		return err
	}
	_, err := writeFrame(conn, frame.NewProof(proofMAC(key, listenerLabel, dialerHello, listenerHello)))
	return errors.Wrap(err, "send proof")
}

func verifyProof(conn net.Conn, wantMAC []byte) error {
	_, m, err := frame.ReadAtMost(conn, maxHandshakeBytes)
	if err != nil {
		return errors.Wrap(err, "read proof")
	}
	proof, ok := m.(*frame.Proof)
	if !ok || !hmac.Equal(proof.MAC(), wantMAC) {
		return errors.Wrap(ErrAuthentication, "proof does not match the shared key")
	}
	return nil
}

func proofMAC(key []byte, label string, dialerHello, listenerHello []byte) []byte {
	h := hmac.New(sha256.New, key)
	// Write of a hash.Hash never returns an error.
	_, _ = h.Write([]byte(label))
	_, _ = h.Write(dialerHello)
	_, _ = h.Write(listenerHello)
	return h.Sum(nil)
}

func writeFrame(conn net.Conn, m frame.Message) ([]byte, error) {
	b, err := frame.Append(nil, frame.ID{}, m)
	if err != nil {
		return nil, err
	}
	_, err = conn.Write(b)
	return b, err
}

func receiveHello(conn net.Conn) (*frame.Hello, []byte, error) {
	_, m, err := frame.ReadAtMost(conn, maxHandshakeBytes)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read hello")
	}
	hello, ok := m.(*frame.Hello)
	if !ok {
		return nil, nil, errors.Wrap(ErrAuthentication, "first frame is not a hello")
	}
	b, err := frame.Append(nil, frame.ID{}, hello)
	return hello, b, err
}
