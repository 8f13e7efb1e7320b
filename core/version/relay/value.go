package relay

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/version/mark"
)

// Kinds of a Version frame. A delta leads from the version that its value names
// to the version of the frame.
const (
	kindConfig      = "configuration"
	kindConfigDelta = "configurationDelta"
	kindOut         = "out"
	kindOutDelta    = "outDelta"
	kindList        = "instances"
	kindListDelta   = "instancesDelta"
	// kindReads tells with version 1 that the sender reads the platform, with 0
	// that it does not.
	kindReads = "reads"
)

// errValue reports a pushed value that cannot be read.
var errValue = errors.New("pushed value is malformed")

// versions are the versions that a subscriber holds.
type versions struct {
	config uint64
	out    uint64
	list   uint64
}

func (s *Snapshot) versions() versions {
	return versions{s.config.version, s.out.version, s.list.version}
}

// frames returns the Version frames that bring a subscriber from what it has to
// this snapshot.
func (s *Snapshot) frames(has versions) []*frame.Version {
	var all []*frame.Version
	all = append(all, s.config.frames(has.config, kindConfig, kindConfigDelta)...)
	all = append(all, s.out.frames(has.out, kindOut, kindOutDelta)...)
	return append(all, s.list.frames(has.list, kindList, kindListDelta)...)
}

func (h held) frames(has uint64, whole, partial string) []*frame.Version {
	if h.version <= has {
		return nil
	}
	chain, ok := h.history.since(has)
	if !ok {
		return []*frame.Version{frame.NewVersion(whole, h.version, h.value)}
	}
	var all []*frame.Version
	for _, d := range chain {
		all = append(all, frame.NewVersion(partial, d.to, d.encode()))
	}
	return all
}

// resolve returns the input that a pushed frame stands for, given what the
// process holds. A delta that does not fit is errDelta: the relay must be asked
// for the whole value.
func (s *Snapshot) resolve(relay string, v *frame.Version) (input, error) {
	switch v.Kind() {
	case kindConfig:
		return offered{relay, v.Version(), v.Value()}, nil
	case kindConfigDelta:
		next, err := s.config.rebuild(v)
		return offered{relay, next.version, next.value}, err
	case kindOut:
		return parseMarks(v.Version(), v.Value())
	case kindOutDelta:
		next, err := s.out.rebuild(v)
		if err != nil {
			return nil, err
		}
		return parseMarks(next.version, next.value)
	case kindList:
		return parseList(v.Version(), v.Value())
	case kindListDelta:
		next, err := s.list.rebuild(v)
		if err != nil {
			return nil, err
		}
		return parseList(next.version, next.value)
	}
	return nil, errors.Wrapf(errValue, "kind %q", v.Kind())
}

// rebuild returns the value after a pushed delta. A delta to a version that is
// already held gives that version.
func (h held) rebuild(v *frame.Version) (held, error) {
	if v.Version() <= h.version {
		return h, nil
	}
	d, err := parseDelta(v.Version(), v.Value())
	if err != nil {
		return held{}, err
	}
	return d.apply(h)
}

func parseMarks(version uint64, raw []byte) (input, error) {
	marks, err := mark.Parse(raw)
	if err != nil {
		return nil, errors.Wrapf(errValue, "%v", err)
	}
	return marked{version, marks, true}, nil
}

func parseList(version uint64, raw []byte) (input, error) {
	var list []platform.Instance
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, errors.Wrapf(errValue, "%v", err)
	}
	return listed{version, list, true}, nil
}
