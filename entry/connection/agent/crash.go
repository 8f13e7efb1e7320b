package agent

import "goldcrestshore/core/connection/frame"

// crashed passes an agent's report of a crash on.
func (l *Link) crashed(m *frame.Crash) {
	if l.OnCrash != nil {
		l.OnCrash(l.Name, m)
	}
}
