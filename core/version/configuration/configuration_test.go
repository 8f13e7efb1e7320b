package configuration

import (
	"bytes"
	"errors"
	"os"
	"strings"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

func parseExample(t testing.TB) *Configuration {
	t.Helper()
	raw, err := os.ReadFile("testdata/handcycles.jsonc")
	check.NoError(t, "read example", err)
	parsed, err := Parse(raw)
	check.NoError(t, "parse example", err)
	return parsed
}

// Guards against accessors that return another field.
func TestAccessors(t *testing.T) {
	config := parseExample(t)
	check.Equal(t, "data centres", len(config.DataCentres()), 3)
	check.Equal(t, "region", config.DataCentres()[2].Region(), "gt-central")
	s, _ := config.Service("asistente")
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
	c := config.Customers()[0]
	check.Equal(t, "weight", c.Weight(), 4)
	check.Equal(t, "rate", c.RequestsPerSecond(), 20.0)
	check.Equal(t, "concurrent", c.ConcurrencyLimit(), 40)
	check.Equal(t, "priority", c.Priority(), 2)
	check.Equal(t, "default weight", config.Customers()[1].Weight(), 1)
	check.Equal(t, "model", config.Models()[0], "base")
	check.Equal(t, "adapter's model", config.Adapters()[0].Model(), "base")
}

// Guards against accessors that expose internal slices: a caller could change the
// configuration in force.
func TestAccessorsReturnCopies(t *testing.T) {
	config := parseExample(t)
	config.Services()[0] = nil
	config.Services()[1].Routes()[0] = Route{}
	check.Equal(t, "service", config.Services()[0].Name(), "asistente")
	check.Equal(t, "route", config.Services()[1].Routes()[0].Path(), "/loans/*")
}

// Guards against matching the wrong route: a POST taken for an idempotent route
// could be retried and make a second reservation.
func TestRoute(t *testing.T) {
	config := parseExample(t)
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
			_, r, _ := config.Route(row.method, row.path)
			check.Equal(t, "path", r.Path(), row.want)
			s, _ := config.Service("loan-desk")
			own, _ := s.Route(row.method, row.path)
			check.Equal(t, "result of Service.Route", own, r)
		})
	}
}

// Guards against a key that is attributed to the wrong customer.
func TestCustomer(t *testing.T) {
	config := parseExample(t)
	c, ok := config.Customer("key-of-workshop")
	check.Equal(t, "found", ok, true)
	check.Equal(t, "customer", c.Name(), "workshop")
	_, ok = config.Customer("key-of-nobody")
	check.Equal(t, "found an unknown key", ok, false)
	_, ok = config.Customer("")
	check.Equal(t, "found an empty key", ok, false)
}

// Guards against equal hashes of different configurations, which would be taken
// for the same one.
func TestHashCoversAllBytes(t *testing.T) {
	raw, err := os.ReadFile("testdata/handcycles.jsonc")
	check.NoError(t, "read example", err)
	other, err := Parse(append(raw, '\n'))
	check.NoError(t, "parse", err)
	check.Equal(t, "hashes are equal", other.Hash() == parseExample(t).Hash(), false)
}

const (
	documentStart = `{"dataCentres":[{"name":"a","region":"r"}],"services":[`
	plainServiceA = `{"name":"a","kind":"plain","routes":[{"method":"GET","path":"/a"}]}`
	zeroDigest    = "0000000000000000000000000000000000000000000000000000000000000000"
)

// Guards against accepting an invalid configuration, which would fail in all
// processes at once, and against errors that do not report its position.
func TestParseErrors(t *testing.T) {
	rows := []struct {
		name         string
		raw          string
		want         error
		line, column int
	}{
		{"empty", "", ErrSyntax, 1, 1},
		{"truncated", "{\n  \"services\": [", ErrSyntax, 2, 16},
		{"unexpected character", "{\n \"services\" [] }", ErrSyntax, 2, 13},
		{"unclosed comment", "/* {}", ErrSyntax, 1, 1},
		{"two documents", "{} {}", ErrSyntax, 1, 4},
		{"not an object", "\n[]", ErrValue, 2, 1},
		{"missing field", "{\"dataCentres\":[]}", ErrMissingField, 1, 1},
		{"unknown field", "{\n  \"colour\": 1}", ErrUnknownField, 2, 3},
		{"unknown nested field", documentStart + "\n" + `{"name":"a","kind":"model","coldLimits":1}]}`, ErrUnknownField, 2, 28},
		{"duplicate field", documentStart + "],\n\"services\":[]}", ErrDuplicateField, 2, 1},
		{"wrong type", documentStart + "\n1]}", ErrValue, 2, 1},
		{"list for an object", documentStart + "\n[]]}", ErrValue, 2, 1},
		{"unknown kind", documentStart + "\n" + `{"name":"a","kind":"maybe"}]}`, ErrValue, 2, 20},
		{"name with a space", documentStart + "\n" + `{"name":"a b","kind":"model"}]}`, ErrValue, 2, 9},
		{"empty name", documentStart + "\n" + `{"name":"","kind":"model"}]}`, ErrValue, 2, 9},
		{"duplicate service", documentStart + plainServiceA + ",\n" + `{"name":"a","kind":"model"}]}`, ErrDuplicateName, 2, 9},
		{"duplicate data centre", "{\"services\":[],\"dataCentres\":[{\"name\":\"a\",\"region\":\"r\"},\n{\"name\":\"a\",\"region\":\"r\"}]}", ErrDuplicateName, 2, 9},
		{"duplicate customer", documentStart + "],\"customers\":[{\"name\":\"c\",\"keyHashes\":[]},\n{\"name\":\"c\",\"keyHashes\":[]}]}", ErrDuplicateName, 2, 9},
		{"duplicate key", documentStart + `],"customers":[{"name":"c","keyHashes":["` + zeroDigest + "\"]},\n" + `{"name":"d","keyHashes":["` + zeroDigest + `"]}]}`, ErrDuplicateKey, 2, 26},
		{"short key hash", documentStart + "],\"customers\":[{\"name\":\"c\",\"keyHashes\":[\n\"00\"]}]}", ErrValue, 2, 1},
		{"duplicate model", documentStart + "],\"models\":[{\"name\":\"m\"},\n{\"name\":\"m\"}]}", ErrDuplicateName, 2, 9},
		{"unknown dependency", documentStart + "\n" + `{"name":"a","kind":"model","dependsOn":["b"]}]}`, ErrUnknownName, 2, 41},
		{"unknown model", documentStart + "],\"adapters\":[{\"name\":\"x\",\n\"model\":\"m\"}]}", ErrUnknownName, 2, 9},
		{"dependency on itself", documentStart + "\n" + `{"name":"a","kind":"model","dependsOn":["a"]}]}`, ErrCycle, 2, 41},
		{"cycle of three", documentStart + `{"name":"a","kind":"model","dependsOn":["b"]},{"name":"b","kind":"model","dependsOn":["c"]},` + "\n" +
			`{"name":"c","kind":"model","dependsOn":["a"]}]}`, ErrCycle, 2, 41},
		{"duplicate route", documentStart + plainServiceA + ",\n" + `{"name":"b","kind":"plain","routes":[{"method":"GET","path":"/a"}]}]}`, ErrDuplicateRoute, 2, 38},
		{"route reserved for model services", documentStart + "\n" + `{"name":"b","kind":"plain","routes":[{"method":"POST","path":"/v1/chat/completions"}]}]}`, ErrDuplicateRoute, 2, 38},
		{"model service with routes", documentStart + "\n" + `{"name":"b","kind":"model","routes":[{"method":"GET","path":"/b"}]}]}`, ErrValue, 2, 38},
		{"plain service without routes", documentStart + "\n" + `{"name":"b","kind":"plain"}]}`, ErrMissingField, 2, 1},
		{"relative path", documentStart + `{"name":"b","kind":"plain","routes":[{"method":"GET",` + "\n" + `"path":"b"}]}]}`, ErrValue, 2, 8},
		{"path with a parent segment", documentStart + `{"name":"b","kind":"plain","routes":[{"method":"GET",` + "\n" + `"path":"/b/../c"}]}]}`, ErrValue, 2, 8},
		{"wildcard in the middle", documentStart + `{"name":"b","kind":"plain","routes":[{"method":"GET",` + "\n" + `"path":"/*/c"}]}]}`, ErrValue, 2, 8},
		{"lower-case method", documentStart + `{"name":"b","kind":"plain","routes":[{"path":"/b",` + "\n" + `"method":"get"}]}]}`, ErrValue, 2, 10},
		{"cold limit above warm limit", documentStart + "\n" + `{"name":"a","kind":"model","coldLimit":9,"warmLimit":8}]}`, ErrValue, 2, 1},
		{"memory per token without a budget", documentStart + "\n" + `{"name":"a","kind":"model","memoryPerTokenBytes":9}]}`, ErrValue, 2, 1},
		{"percent above 100", documentStart + `{"name":"a","kind":"model","objective":{"firstTokenMs":1,` + "\n" + `"percent":101}}]}`, ErrValue, 2, 11},
		{"fraction for an integer", documentStart + `{"name":"a","kind":"model",` + "\n" + `"groupRanks":1.5}]}`, ErrValue, 2, 14},
		{"negative number", documentStart + `{"name":"a","kind":"model",` + "\n" + `"groupRanks":-1}]}`, ErrValue, 2, 14},
		{"string for a boolean", documentStart + `{"name":"a","kind":"model",` + "\n" + `"checksFencing":"yes"}]}`, ErrValue, 2, 17},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			_, err := Parse([]byte(row.raw))
			check.Is(t, "cause", err, row.want)
			p := firstProblem(t, err)
			check.Equal(t, "line", p.Line(), row.line)
			check.Equal(t, "column", p.Column(), row.column)
		})
	}
}

func firstProblem(t *testing.T, err error) *Problem {
	t.Helper()
	var ps Problems
	if !errors.As(err, &ps) || len(ps) == 0 {
		t.Fatalf("got error %v, want Problems", err)
	}
	return ps[0]
}

// Guards against accepting a configuration that the platform refuses to store.
func TestParseSizeLimit(t *testing.T) {
	raw, err := os.ReadFile("testdata/handcycles.jsonc")
	check.NoError(t, "read example", err)
	padded := append(raw, bytes.Repeat([]byte(" "), MaxBytes-len(raw))...)
	_, err = Parse(padded)
	check.NoError(t, "parse at the limit", err)
	_, err = Parse(append(padded, ' '))
	check.Is(t, "parse above the limit", err, ErrTooLarge)
}

// Guards against a configuration that exhausts the stack by deep nesting or the
// CPU by problems in many items: computing the position of each would take
// quadratic time.
func TestParseBoundsResources(t *testing.T) {
	_, err := Parse(bytes.Repeat([]byte("["), MaxBytes))
	check.Is(t, "deep nesting", err, ErrSyntax)
	check.Equal(t, "column of deep nesting", firstProblem(t, err).Column(), maxNesting+1)
	inComment := "/*" + strings.Repeat("[", 100) + "*/ // " + strings.Repeat("{", 100) + "\n"
	_, err = Parse([]byte(inComment + `{"dataCentres":[],"services":[]}`))
	check.NoError(t, "brackets in comments", err)
	_, err = Parse([]byte(`{"` + strings.Repeat("[", 100) + `\"[":1}`))
	check.Is(t, "brackets in a string", err, ErrUnknownField)
	item := `{"name":"a","region":"r"},`
	many := `{"services":[],"dataCentres":[` + strings.Repeat(item, 30000) + `]}`
	_, err = Parse([]byte(many))
	var ps Problems
	check.Equal(t, "error is of type Problems", errors.As(err, &ps), true)
	check.Equal(t, "number of problems", len(ps), maxProblems)
}
