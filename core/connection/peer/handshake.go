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

// ErrAuthentication reports a peer that does not hold the shared key.
var ErrAuthentication = errors.New("peer failed authentication")

const nonceBytes = 16

// Labels keep a proof from being sent back to the side that made it.
const (
	dialerLabel   = "goldcrest dialer"
	listenerLabel = "goldcrest listener"
)

// greet exchanges greetings and proofs over a fresh connection and returns the
// peer's identity. The dialer proves first, so that a listener never gives a
// proof to a process that has no key.
func greet(conn net.Conn, self Identity, key []byte, dialer bool) (Identity, error) {
	ownHello, err := newHello(self)
	if err != nil {
		return Identity{}, err
	}
	ownBytes, err := send(conn, ownHello)
	if err != nil {
		return Identity{}, errors.Wrap(err, "send greeting")
	}
	theirHello, theirBytes, err := receiveHello(conn)
	if err != nil {
		return Identity{}, err
	}
	if dialer {
		err = proveAsDialer(conn, key, ownBytes, theirBytes)
	} else {
		err = proveAsListener(conn, key, theirBytes, ownBytes)
	}
	if err != nil {
		return Identity{}, err
	}
	return Identity{theirHello.Role(), theirHello.Instance(), theirHello.DataCentre(), theirHello.Incarnation()}, nil
}

func newHello(self Identity) (*frame.Hello, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, errors.Wrap(err, "draw nonce")
	}
	return frame.NewHello(self.role, self.instance, self.dataCentre, self.incarnation, nonce), nil
}

func proveAsDialer(conn net.Conn, key, dialer, listener []byte) error {
	if _, err := send(conn, frame.NewProof(mac(key, dialerLabel, dialer, listener))); err != nil {
		return errors.Wrap(err, "send proof")
	}
	err := verify(conn, mac(key, listenerLabel, dialer, listener))
	if errors.Is(err, io.EOF) {
		return errors.Wrap(ErrAuthentication, "the listener closed the connection after the proof")
	}
	return err
}

func proveAsListener(conn net.Conn, key, dialer, listener []byte) error {
	if err := verify(conn, mac(key, dialerLabel, dialer, listener)); err != nil {
		return err
	}
	_, err := send(conn, frame.NewProof(mac(key, listenerLabel, dialer, listener)))
	return errors.Wrap(err, "send proof")
}

func verify(conn net.Conn, want []byte) error {
	_, m, err := frame.Read(conn)
	if err != nil {
		return errors.Wrap(err, "read proof")
	}
	proof, ok := m.(*frame.Proof)
	if !ok || !hmac.Equal(proof.MAC(), want) {
		return errors.Wrap(ErrAuthentication, "proof does not match the shared key")
	}
	return nil
}

func mac(key []byte, label string, dialer, listener []byte) []byte {
	h := hmac.New(sha256.New, key)
	// A hash never returns an error from Write.
	_, _ = h.Write([]byte(label))
	_, _ = h.Write(dialer)
	_, _ = h.Write(listener)
	return h.Sum(nil)
}

func send(conn net.Conn, m frame.Message) ([]byte, error) {
	b, err := frame.Append(nil, frame.ID{}, m)
	if err != nil {
		return nil, err
	}
	_, err = conn.Write(b)
	return b, err
}

func receiveHello(conn net.Conn) (*frame.Hello, []byte, error) {
	_, m, err := frame.Read(conn)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read greeting")
	}
	hello, ok := m.(*frame.Hello)
	if !ok {
		return nil, nil, errors.Wrap(ErrAuthentication, "first frame is not a greeting")
	}
	b, err := frame.Append(nil, frame.ID{}, hello)
	return hello, b, err
}
