package settings

import (
	"flag"
	"runtime/debug"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrMissing reports a required setting that was not given.
var ErrMissing = errors.New("setting is missing")

// gcPercent is the heap growth between garbage collections. Responses buffered for
// slow readers are most of the heap, and a node has 32 MB for control, so that memory
// matters more than the processor time of collecting a few megabytes.
const gcPercent = 25

// Require returns ErrMissing for an empty value.
func Require(name, value string) error {
	if value == "" {
		return errors.Wrapf(ErrMissing, "%q", name)
	}
	return nil
}

// Common holds the settings that every daemon has.
type Common struct {
	instance    string
	dataCentre  string
	platform    string
	key         string
	listen      string
	advertise   string
	admin       string
	logLevel    string
	contacts    string
	memoryLimit int64
}

// DefineCommon defines the common settings on fs.
func DefineCommon(fs *flag.FlagSet) *Common {
	c := &Common{}
	fs.StringVar(&c.instance, "instance", "", "unique name of this instance")
	fs.StringVar(&c.dataCentre, "dataCentre", "", "data centre of this instance")
	fs.StringVar(&c.platform, "platform", "", "address of the platform's object API, ip:port")
	fs.StringVar(&c.key, "key", "", "key shared by all goldcrestshore processes; keep it in the settings file")
	fs.StringVar(&c.listen, "listen", "", "address for other goldcrestshore processes, ip:port")
	fs.StringVar(&c.advertise, "advertise", "", "address that other processes dial, ip:port; the listen address when empty")
	fs.StringVar(&c.admin, "admin", "", "address of the metrics and status endpoints, ip:port; empty for none")
	fs.StringVar(&c.logLevel, "logLevel", "info", "lowest severity that is logged")
	fs.StringVar(&c.contacts, "contacts", "", "comma-separated addresses, ip:port, of some other processes to contact at a start while the platform is down")
	fs.Int64Var(&c.memoryLimit, "memoryLimitBytes", 0, "soft memory limit of the Go runtime, 0 for none")
	return c
}

// Check returns ErrMissing for the first required setting that was not given, and
// otherwise configures the garbage collector and memory limit of the Go runtime.
func (c *Common) Check() error {
	required := []struct{ name, value string }{
		{"instance", c.instance}, {"dataCentre", c.dataCentre}, {"platform", c.platform},
		{"key", c.key}, {"listen", c.listen},
	}
	for _, r := range required {
		if err := Require(r.name, r.value); err != nil {
			return err
		}
	}
	debug.SetGCPercent(gcPercent)
	if c.memoryLimit > 0 {
		debug.SetMemoryLimit(c.memoryLimit)
	}
	return nil
}

// Instance returns the unique name of the instance.
func (c *Common) Instance() string { return c.instance }

// DataCentre returns the data centre of the instance.
func (c *Common) DataCentre() string { return c.dataCentre }

// Platform returns the address of the object API.
func (c *Common) Platform() string { return c.platform }

// Key returns the key shared by all processes.
func (c *Common) Key() []byte { return []byte(c.key) }

// Listen returns the address for other processes.
func (c *Common) Listen() string { return c.listen }

// Advertise returns the address that other processes dial.
func (c *Common) Advertise() string {
	if c.advertise == "" {
		return c.listen
	}
	return c.advertise
}

// Admin returns the address of the metrics and status endpoints.
func (c *Common) Admin() string { return c.admin }

// LogLevel returns the lowest severity that is logged.
func (c *Common) LogLevel() string { return c.logLevel }

// Contacts returns the addresses of some other processes, to contact at a start
// while the platform is down.
func (c *Common) Contacts() []string {
	return strings.FieldsFunc(c.contacts, func(r rune) bool { return r == ',' || r == ' ' })
}
