package relay

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/version/drainflag"
)

// Kinds of a Version frame. A delta leads from the version encoded in its value
// to the version of the frame.
const (
	kindConfig          = "configuration"
	kindConfigDelta     = "configurationDelta"
	kindDrainFlags      = "out"
	kindDrainFlagsDelta = "outDelta"
	kindInstances       = "instances"
	kindInstancesDelta  = "instancesDelta"
	// kindReadsPlatform reports whether the sender reads the platform: version 1
	// if it does, 0 if it does not.
	kindReadsPlatform = "reads"
)

// errMalformedValue reports a pushed value that cannot be decoded.
var errMalformedValue = errors.New("pushed value is malformed")

// versions are the versions of the values that a process holds, 0 for none.
type versions struct {
	config       uint64
	drainFlags   uint64
	instanceList uint64
}

func (s *Snapshot) versions() versions {
	return versions{s.config.version, s.drainFlags.version, s.instanceList.version}
}

// frames returns the Version frames that bring a subscriber from the versions it
// holds up to this snapshot.
func (s *Snapshot) frames(from versions) []*frame.Version {
	var all []*frame.Version
	all = append(all, s.config.frames(from.config, kindConfig, kindConfigDelta)...)
	all = append(all, s.drainFlags.frames(from.drainFlags, kindDrainFlags, kindDrainFlagsDelta)...)
	return append(all, s.instanceList.frames(from.instanceList, kindInstances, kindInstancesDelta)...)
}

func (held versionedValue) frames(from uint64, wholeKind, deltaKind string) []*frame.Version {
	if held.version <= from {
		return nil
	}
	chain, ok := held.history.since(from)
	if !ok {
		return []*frame.Version{frame.NewVersion(wholeKind, held.version, held.value)}
	}
	var all []*frame.Version
	for _, d := range chain {
		all = append(all, frame.NewVersion(deltaKind, d.to, d.encode()))
	}
	return all
}

// decodePush converts a pushed frame to an input; a delta is applied to the held
// value. It returns errDelta if the delta does not apply: the full value must
// then be requested from the relay.
func (s *Snapshot) decodePush(relay string, pushed *frame.Version) (input, error) {
	switch pushed.Kind() {
	case kindConfig:
		return configReceived{relay, pushed.Version(), pushed.Value()}, nil
	case kindConfigDelta:
		next, err := s.config.applyPush(pushed)
		return configReceived{relay, next.version, next.value}, err
	case kindDrainFlags:
		return parseDrainFlags(pushed.Version(), pushed.Value())
	case kindDrainFlagsDelta:
		next, err := s.drainFlags.applyPush(pushed)
		if err != nil {
			return nil, err
		}
		return parseDrainFlags(next.version, next.value)
	case kindInstances:
		return parseInstances(pushed.Version(), pushed.Value())
	case kindInstancesDelta:
		next, err := s.instanceList.applyPush(pushed)
		if err != nil {
			return nil, err
		}
		return parseInstances(next.version, next.value)
	}
	return nil, errors.Wrapf(errMalformedValue, "kind %q", pushed.Kind())
}

// applyPush returns the value after a pushed delta. It returns held unchanged if
// the delta leads to a version that is not newer.
func (held versionedValue) applyPush(pushed *frame.Version) (versionedValue, error) {
	if pushed.Version() <= held.version {
		return held, nil
	}
	d, err := parseDelta(pushed.Version(), pushed.Value())
	if err != nil {
		return versionedValue{}, err
	}
	return d.apply(held)
}

func parseDrainFlags(version uint64, raw []byte) (input, error) {
	drainFlags, err := drainflag.Parse(raw)
	if err != nil {
		return nil, errors.Wrapf(errMalformedValue, "%v", err)
	}
	return drainFlagsReceived{version, drainFlags, true}, nil
}

func parseInstances(version uint64, raw []byte) (input, error) {
	var instances []platform.Instance
	if err := json.Unmarshal(raw, &instances); err != nil {
		return nil, errors.Wrapf(errMalformedValue, "%v", err)
	}
	return instancesReceived{version, instances, true}, nil
}
