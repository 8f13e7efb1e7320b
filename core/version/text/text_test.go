package text

import (
	"bytes"
	"errors"
	"os"
	"strings"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

func example(t testing.TB) *Text {
	t.Helper()
	raw, err := os.ReadFile("testdata/handcycles.jsonc")
	check.NoError(t, "read example", err)
	parsed, err := Parse(raw)
	check.NoError(t, "parse example", err)
	return parsed
}

// Guards against fields that are read into the wrong accessor.
func TestAccessors(t *testing.T) {
	x := example(t)
	check.Equal(t, "data centres", len(x.DataCentres()), 3)
	check.Equal(t, "region", x.DataCentres()[2].Region(), "gt-central")
	s, _ := x.Service("asistente")
	check.Equal(t, "kind", s.Kind(), Model)
	check.Equal(t, "depends on", s.DependsOn()[0], "loan-desk")
	check.Equal(t, "objective", s.Objective(), Objective{1300, 55, 95})
	check.Equal(t, "first token", s.Objective().FirstToken(), clock.Millis(1300))
	check.Equal(t, "cold limit", s.ColdLimit(), 2)
	check.Equal(t, "warm limit", s.WarmLimit(), 64)
	check.Equal(t, "bytes per token", s.MemoryPerTokenBytes(), int64(131072))
	check.Equal(t, "memory budget", s.MemoryBudgetBytes(), int64(34359738368))
	check.Equal(t, "checks fencing", s.ChecksFencing(), true)
	check.Equal(t, "group ranks", s.GroupRanks(), 32)
	c := x.Customers()[0]
	check.Equal(t, "weight", c.Weight(), 4)
	check.Equal(t, "rate", c.RequestsPerSecond(), 20.0)
	check.Equal(t, "concurrent", c.Concurrent(), 40)
	check.Equal(t, "priority", c.Priority(), 2)
	check.Equal(t, "default weight", x.Customers()[1].Weight(), 1)
	check.Equal(t, "model", x.Models()[0], "base")
	check.Equal(t, "adapter's model", x.Adapters()[0].Model(), "base")
}

// Guards against a caller changing the configuration in force.
func TestAccessorsReturnCopies(t *testing.T) {
	x := example(t)
	x.Services()[0] = nil
	x.Services()[1].Routes()[0] = Route{}
	check.Equal(t, "service", x.Services()[0].Name(), "asistente")
	check.Equal(t, "route", x.Services()[1].Routes()[0].Path(), "/loans/*")
}

// Guards against a call that reaches the wrong route, which could repeat a
// reservation.
func TestRoute(t *testing.T) {
	x := example(t)
	rows := []struct{ method, path, want string }{
		{"GET", "/loans/7", "/loans/*"},
		{"GET", "/loans/", "/loans/*"},
		{"GET", "/loans/summary", "/loans/summary"},
		{"GET", "/loans/archive/2024/1", "/loans/archive/*"},
		{"GET", "/loans/archive", "/loans/*"},
		{"GET", "/loans", ""},
		{"GET", "/loans/*", "/loans/*"},
		{"POST", "/loans", "/loans"},
		{"POST", "/loans/7", ""},
		{"GET", "", ""},
		{"GET", "loans/7", ""},
	}
	for _, row := range rows {
		t.Run(row.method+" "+row.path, func(t *testing.T) {
			_, r, _ := x.Route(row.method, row.path)
			check.Equal(t, "path", r.Path(), row.want)
			s, _ := x.Service("loan-desk")
			own, _ := s.Route(row.method, row.path)
			check.Equal(t, "service's own route", own, r)
		})
	}
}

// Guards against a key that opens another customer's account.
func TestCustomer(t *testing.T) {
	x := example(t)
	c, ok := x.Customer("key-of-workshop")
	check.Equal(t, "found", ok, true)
	check.Equal(t, "customer", c.Name(), "workshop")
	_, ok = x.Customer("key-of-nobody")
	check.Equal(t, "found a wrong key", ok, false)
	_, ok = x.Customer("")
	check.Equal(t, "found an empty key", ok, false)
}

// Guards against two different texts that pass for the same version.
func TestHash(t *testing.T) {
	raw, err := os.ReadFile("testdata/handcycles.jsonc")
	check.NoError(t, "read example", err)
	other, err := Parse(append(raw, '\n'))
	check.NoError(t, "parse", err)
	check.Equal(t, "hashes are equal", other.Hash() == example(t).Hash(), false)
}

const (
	head   = `{"dataCentres":[{"name":"a","region":"r"}],"services":[`
	plainA = `{"name":"a","kind":"plain","routes":[{"method":"GET","path":"/a"}]}`
	digest = "0000000000000000000000000000000000000000000000000000000000000000"
)

// Guards against an accepted text that would fail in every process at once, and
// against a message that does not lead the operator to the place.
func TestRefused(t *testing.T) {
	rows := []struct {
		name         string
		raw          string
		want         error
		line, column int
	}{
		{"empty", "", ErrSyntax, 1, 1},
		{"cut off", "{\n  \"services\": [", ErrSyntax, 2, 16},
		{"stray character", "{\n \"services\" [] }", ErrSyntax, 2, 13},
		{"unclosed comment", "/* {}", ErrSyntax, 1, 1},
		{"two values", "{} {}", ErrSyntax, 1, 4},
		{"not an object", "\n[]", ErrValue, 2, 1},
		{"missing field", "{\"dataCentres\":[]}", ErrMissingField, 1, 1},
		{"unknown field", "{\n  \"colour\": 1}", ErrUnknownField, 2, 3},
		{"unknown nested field", head + "\n" + `{"name":"a","kind":"model","coldLimits":1}]}`, ErrUnknownField, 2, 28},
		{"field twice", head + "],\n\"services\":[]}", ErrDuplicateField, 2, 1},
		{"wrong type", head + "\n1]}", ErrValue, 2, 1},
		{"list for an object", head + "\n[]]}", ErrValue, 2, 1},
		{"kind", head + "\n" + `{"name":"a","kind":"maybe"}]}`, ErrValue, 2, 20},
		{"name with a space", head + "\n" + `{"name":"a b","kind":"model"}]}`, ErrValue, 2, 9},
		{"empty name", head + "\n" + `{"name":"","kind":"model"}]}`, ErrValue, 2, 9},
		{"duplicate service", head + plainA + ",\n" + `{"name":"a","kind":"model"}]}`, ErrDuplicateName, 2, 9},
		{"duplicate data centre", "{\"services\":[],\"dataCentres\":[{\"name\":\"a\",\"region\":\"r\"},\n{\"name\":\"a\",\"region\":\"r\"}]}", ErrDuplicateName, 2, 9},
		{"duplicate customer", head + "],\"customers\":[{\"name\":\"c\",\"keyHashes\":[]},\n{\"name\":\"c\",\"keyHashes\":[]}]}", ErrDuplicateName, 2, 9},
		{"duplicate key", head + `],"customers":[{"name":"c","keyHashes":["` + digest + "\"]},\n" + `{"name":"d","keyHashes":["` + digest + `"]}]}`, ErrDuplicateKey, 2, 26},
		{"short key hash", head + "],\"customers\":[{\"name\":\"c\",\"keyHashes\":[\n\"00\"]}]}", ErrValue, 2, 1},
		{"duplicate model", head + "],\"models\":[{\"name\":\"m\"},\n{\"name\":\"m\"}]}", ErrDuplicateName, 2, 9},
		{"unknown dependency", head + "\n" + `{"name":"a","kind":"model","dependsOn":["b"]}]}`, ErrUnknownName, 2, 41},
		{"unknown model", head + "],\"adapters\":[{\"name\":\"x\",\n\"model\":\"m\"}]}", ErrUnknownName, 2, 9},
		{"own dependency", head + "\n" + `{"name":"a","kind":"model","dependsOn":["a"]}]}`, ErrCycle, 2, 41},
		{"cycle of three", head + `{"name":"a","kind":"model","dependsOn":["b"]},{"name":"b","kind":"model","dependsOn":["c"]},` + "\n" +
			`{"name":"c","kind":"model","dependsOn":["a"]}]}`, ErrCycle, 2, 41},
		{"duplicate route", head + plainA + ",\n" + `{"name":"b","kind":"plain","routes":[{"method":"GET","path":"/a"}]}]}`, ErrDuplicateRoute, 2, 38},
		{"route of model services", head + "\n" + `{"name":"b","kind":"plain","routes":[{"method":"POST","path":"/v1/chat/completions"}]}]}`, ErrDuplicateRoute, 2, 38},
		{"routes at a model service", head + "\n" + `{"name":"b","kind":"model","routes":[{"method":"GET","path":"/b"}]}]}`, ErrValue, 2, 38},
		{"plain service without routes", head + "\n" + `{"name":"b","kind":"plain"}]}`, ErrMissingField, 2, 1},
		{"relative path", head + `{"name":"b","kind":"plain","routes":[{"method":"GET",` + "\n" + `"path":"b"}]}]}`, ErrValue, 2, 8},
		{"path with dots", head + `{"name":"b","kind":"plain","routes":[{"method":"GET",` + "\n" + `"path":"/b/../c"}]}]}`, ErrValue, 2, 8},
		{"star in the middle", head + `{"name":"b","kind":"plain","routes":[{"method":"GET",` + "\n" + `"path":"/*/c"}]}]}`, ErrValue, 2, 8},
		{"method", head + `{"name":"b","kind":"plain","routes":[{"path":"/b",` + "\n" + `"method":"get"}]}]}`, ErrValue, 2, 10},
		{"cold above warm", head + "\n" + `{"name":"a","kind":"model","coldLimit":9,"warmLimit":8}]}`, ErrValue, 2, 1},
		{"memory without a budget", head + "\n" + `{"name":"a","kind":"model","memoryPerTokenBytes":9}]}`, ErrValue, 2, 1},
		{"percent above 100", head + `{"name":"a","kind":"model","objective":{"firstTokenMs":1,` + "\n" + `"percent":101}}]}`, ErrValue, 2, 11},
		{"fraction", head + `{"name":"a","kind":"model",` + "\n" + `"groupRanks":1.5}]}`, ErrValue, 2, 14},
		{"negative", head + `{"name":"a","kind":"model",` + "\n" + `"groupRanks":-1}]}`, ErrValue, 2, 14},
		{"text for a truth value", head + `{"name":"a","kind":"model",` + "\n" + `"checksFencing":"yes"}]}`, ErrValue, 2, 17},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			_, err := Parse([]byte(row.raw))
			check.Is(t, "cause", err, row.want)
			p := first(t, err)
			check.Equal(t, "line", p.Line(), row.line)
			check.Equal(t, "column", p.Column(), row.column)
		})
	}
}

func first(t *testing.T, err error) *Problem {
	t.Helper()
	var ps Problems
	if !errors.As(err, &ps) || len(ps) == 0 {
		t.Fatalf("got error %v, want Problems", err)
	}
	return ps[0]
}

// Guards against a text that the platform would refuse to store.
func TestTooLarge(t *testing.T) {
	raw, err := os.ReadFile("testdata/handcycles.jsonc")
	check.NoError(t, "read example", err)
	padded := append(raw, bytes.Repeat([]byte(" "), MaxBytes-len(raw))...)
	_, err = Parse(padded)
	check.NoError(t, "parse at the limit", err)
	_, err = Parse(append(padded, ' '))
	check.Is(t, "one byte more", err, ErrTooLarge)
}

// Guards against a text that exhausts the checker: deep nesting, and a fault in
// each of many items, whose positions must not be sought one by one.
func TestHostileTexts(t *testing.T) {
	_, err := Parse(bytes.Repeat([]byte("["), MaxBytes))
	check.Is(t, "deep nesting", err, ErrSyntax)
	check.Equal(t, "column of deep nesting", first(t, err).Column(), maxNesting+1)
	inComment := "/*" + strings.Repeat("[", 100) + "*/ // " + strings.Repeat("{", 100) + "\n"
	_, err = Parse([]byte(inComment + `{"dataCentres":[],"services":[]}`))
	check.NoError(t, "brackets in comments", err)
	_, err = Parse([]byte(`{"` + strings.Repeat("[", 100) + `\"[":1}`))
	check.Is(t, "brackets in a string", err, ErrUnknownField)
	item := `{"name":"a","region":"r"},`
	many := `{"services":[],"dataCentres":[` + strings.Repeat(item, 30000) + `]}`
	_, err = Parse([]byte(many))
	var ps Problems
	check.Equal(t, "is Problems", errors.As(err, &ps), true)
	check.Equal(t, "reported", len(ps), maxProblems)
}
