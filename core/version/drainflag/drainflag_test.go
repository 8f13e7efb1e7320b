package drainflag

import (
	"testing"

	"goldcrestshore/core/process/check"
)

// Guards against a drain flag that is lost or changed in transfer between
// processes.
func TestEncodeAndParse(t *testing.T) {
	s := NewSet(DataCentre("oviedo"), Instance("oviedo"), DataCentre("bilbao"))
	got, err := Parse(s.Encode())
	check.NoError(t, "parse", err)
	check.Equal(t, "encoding", string(got.Encode()), `["datacentre.bilbao","datacentre.oviedo","instance.oviedo"]`)
	check.Equal(t, "data centre drained", got.DataCentreDrained("bilbao"), true)
	check.Equal(t, "instance drained", got.InstanceDrained("bilbao"), false)
	check.Equal(t, "data centres", len(got.DataCentres()), 2)
	check.Equal(t, "instances", got.Instances()[0], "oviedo")
	_, err = Parse([]byte("{"))
	check.Is(t, "malformed", err, ErrMalformed)
}
