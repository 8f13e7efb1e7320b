package connlimit

import "net"

// Listener adds the connections that it accepts to a set.
type Listener struct {
	net.Listener
	Set *Set
}

// Accept implements net.Listener. It returns connections of type *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if added := l.Set.Add(c); added != nil {
			return added, nil
		}
	}
}
