package agent

import "goldcrestshore/core/connection/frame"

// handleCrash passes an agent's crash report to OnCrash.
func (l *Link) handleCrash(m *frame.Crash) {
	if l.OnCrash != nil {
		l.OnCrash(l.Name, m)
	}
}
