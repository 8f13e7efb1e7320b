package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/standin/process/engine"
	"goldcrestshore/standin/process/service"
	"goldcrestshore/standin/request/answer"
)

// upstreams serves an engine and a plain service at one address, in place of an
// entry without faults.
func upstreams(t *testing.T, ledger *service.Ledger) (address string, e *engine.Engine, s *service.Service) {
	t.Helper()
	o := engine.Defaults()
	o.ColdCapacity = o.WarmCapacity
	o.FirstTokenBase, o.FirstTokenPerToken, o.BetweenTokens = 0, 0, 0
	e = engine.New(o, clock.System())
	s = service.New(service.Options{}, ledger)
	mux := http.NewServeMux()
	mux.Handle("/v1/", e)
	mux.Handle("/", s)
	return serve(t, mux), e, s
}

func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func options(address string) Options {
	return Options{
		Entries:   []string{address},
		Customers: []Customer{{"ruedas", "k1", 3}, {"telar", "k2", 1}},
		Services:  []Service{{Name: "asistente", Model: true}, {Name: "loan-desk", Path: "/loans"}},
		Ledgers:   []string{address},
		Mix:       Mix{Streamed: 3, Whole: 2, Plain: 2, Keyed: 2, Unkeyed: 1},
		Rate:      300, Duration: 300 * time.Millisecond, MaxInFlight: 100,
		PromptBytes: Span{50, 3000}, OutputTokens: Span{0, 40},
		Prefixes: 2, PrefixBytes: 600,
		Window: time.Hour, Drain: time.Minute, Seed: 1,
	}
}

// Guards against plans that differ between runs with the same seed.
func TestPlanIsDeterministic(t *testing.T) {
	o := options("a")
	first, second := newPlanner(&o), newPlanner(&o)
	seen := map[Kind]int{}
	for range 200 {
		got, want := first.next(), second.next()
		check.Equal(t, "same request", reflect.DeepEqual(got, want), true)
		seen[got.kind]++
	}
	check.Equal(t, "kinds", len(seen), len(kinds))
}

// Guards against two requests with the same prompt or path: a response delivered to
// the wrong one would not be detected.
func TestPromptsAndPathsAreUnique(t *testing.T) {
	o := options("a")
	p, slow := newPlanner(&o), newSlowPlanner(&o)
	seen := map[string]bool{}
	for range 500 {
		for _, r := range []*request{p.next(), slow.slow()} {
			identity := r.prompt + r.path
			check.Equal(t, "seen before", seen[identity], false)
			seen[identity] = true
		}
	}
}

func TestRunAgainstCorrectUpstreams(t *testing.T) {
	address, _, _ := upstreams(t, service.NewLedger())
	o := options(address)
	o.SlowReaders, o.StoppedReaders, o.SlowTokens, o.SlowBytesPerSecond = 2, 2, 300, 1024
	var out bytes.Buffer
	l, err := New(o, &out)
	check.NoError(t, "New", err)
	check.NoError(t, "Run", l.Run(context.Background()))
	check.Equal(t, "all answered", l.tally.counts[OK], l.tally.requests())
	check.Equal(t, "result line last", strings.HasPrefix(lastLine(out.String()), "result load requests="), true)
	check.Equal(t, "slow readers", l.slow.counts.reading+l.slow.counts.answered, 4)
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}

// Guards against a checker that accepts a faulty response, or classifies a visibly
// truncated one as wrong.
func TestVerdicts(t *testing.T) {
	ledger := service.NewLedger()
	address, e, s := upstreams(t, ledger)
	requestOfKind := func(k Kind) *request {
		o := options(address)
		p := newPlanner(&o)
		for {
			if r := p.next(); r.kind == k && (r.prompt == "" || r.tokens > 3) {
				return r
			}
		}
	}
	cases := []struct {
		name   string
		kind   Kind
		engine engine.Fault
		plain  service.Fault
		change func(*request)
		want   Verdict
	}{
		{"streamed", Streamed, engine.Fault{}, service.Fault{}, nil, OK},
		{"whole", Whole, engine.Fault{}, service.Fault{}, nil, OK},
		{"plain", Plain, engine.Fault{}, service.Fault{}, nil, OK},
		{"keyed", Keyed, engine.Fault{}, service.Fault{}, nil, OK},
		{"broken stream", Streamed, engine.Fault{BreakStreams: 1}, service.Fault{}, nil, Cut},
		{"stream without terminator", Streamed, engine.Fault{EndEarlyStreams: 1}, service.Fault{}, nil, Wrong},
		{"malformed stream", Streamed, engine.Fault{MalformedStreams: 1}, service.Fault{}, nil, Wrong},
		{"stream of another prompt", Streamed, engine.Fault{}, service.Fault{}, func(r *request) { r.prompt += "x" }, Wrong},
		{"short stream", Streamed, engine.Fault{}, service.Fault{}, func(r *request) { r.tokens++ }, Wrong},
		{"long stream", Streamed, engine.Fault{}, service.Fault{}, func(r *request) { r.tokens-- }, Wrong},
		{"whole response of another prompt", Whole, engine.Fault{}, service.Fault{}, func(r *request) { r.prompt += "x" }, Wrong},
		{"request dropped", Keyed, engine.Fault{}, service.Fault{DropRequests: 1}, nil, Unknown},
		{"response lost", Keyed, engine.Fault{}, service.Fault{DropResponses: 1}, nil, Unknown},
		{"response to a GET lost", Plain, engine.Fault{}, service.Fault{DropResponses: 1}, nil, Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e.SetFault(c.engine)
			s.SetFault(c.plain)
			r := requestOfKind(c.kind)
			if c.change != nil {
				c.change(r)
			}
			o := options(address)
			got := newCaller(&o, newTransport(1, 0)).send(context.Background(), r, 0)
			check.Equal(t, got.detail, got.verdict, c.want)
		})
	}
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name, outcome, body string
		want                Verdict
	}{
		{"not run", "not-run", `{"code":"overloaded","event":1300,"message":"m"}`, NotRun},
		{"unknown", "unknown", `{"code":"connectionLost","event":1300,"message":"m"}`, Unknown},
		{"no outcome", "", `{"code":"overloaded","event":1300,"message":"m"}`, Wrong},
		{"not JSON", "not-run", `overloaded`, Wrong},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := options(serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if c.outcome != "" {
					w.Header().Set("Goldcrest-Outcome", c.outcome)
				}
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(w, c.body)
			})))
			got := newCaller(&o, newTransport(1, 0)).send(context.Background(), newPlanner(&o).next(), 0)
			check.Equal(t, got.detail, got.verdict, c.want)
		})
	}
	t.Run("unreached", func(t *testing.T) {
		server := httptest.NewServer(http.NotFoundHandler())
		server.Close()
		o := options(strings.TrimPrefix(server.URL, "http://"))
		got := newCaller(&o, newTransport(1, 0)).send(context.Background(), newPlanner(&o).next(), 0)
		check.Equal(t, got.detail, got.verdict, Unreached)
	})
}

// Guards against retries of a keyed request beyond KeyedRetries, by the generator or
// by the HTTP transport on a kept-alive connection.
func TestKeyedRetries(t *testing.T) {
	for _, retries := range []int{0, 2} {
		t.Run(fmt.Sprint(retries), func(t *testing.T) {
			ledger := service.NewLedger()
			address, _, s := upstreams(t, ledger)
			o := options(address)
			o.KeyedRetries = retries
			l, err := New(o, io.Discard)
			check.NoError(t, "New", err)
			l.sendWithRetries(context.Background(), &request{kind: Plain, method: "GET", path: "/warm", customer: o.Customers[0]})
			s.SetFault(service.Fault{DropResponses: 9})
			l.sendWithRetries(context.Background(), &request{kind: Keyed, method: "POST", path: "/once", body: []byte("b"), key: "k", customer: o.Customers[0]})
			check.Equal(t, "executions", len(ledger.Executions())-1, 1+retries)
			j := l.resultLog.compare(ledger.Executions())
			check.Equal(t, "duplicated", j.duplicated, min(1, retries))
		})
	}
}

func TestCompareWithLedgers(t *testing.T) {
	body := []byte("b")
	ran := service.Execution{Echo: service.Echo{Method: "POST", Path: "/p", BodyHash: service.Hash(body), Execution: 4}}
	other := service.Execution{Echo: service.Echo{Method: "POST", Path: "/p", BodyHash: "other", Execution: 5}}
	okay := result{verdict: OK, echo: echo{"POST", "/p", service.Hash(body), 4}}
	cases := []struct {
		name       string
		attempts   []result
		executions []service.Execution
		want       comparison
	}{
		{"ran once", []result{okay}, []service.Execution{ran, other}, comparison{}},
		{"ran twice", []result{okay}, []service.Execution{ran, ran}, comparison{duplicated: 1}},
		{"answered but not in the ledger", []result{okay}, []service.Execution{other}, comparison{unrecorded: 1}},
		{"refused and ran", []result{{verdict: NotRun}, {verdict: NotRun}}, []service.Execution{ran}, comparison{falseNotRun: 1}},
		{"refused after unknown", []result{{verdict: Unknown}, {verdict: NotRun}}, []service.Execution{ran}, comparison{unknownRan: 1}},
		{"refused", []result{{verdict: NotRun}}, nil, comparison{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var r resultLog
			r.add(&request{kind: Keyed, method: "POST", path: "/p", body: body}, c.attempts)
			got := r.compare(c.executions)
			got.examples = nil
			check.Equal(t, "comparison", reflect.DeepEqual(got, c.want), true)
		})
	}
}

func TestParse(t *testing.T) {
	customers, err := ParseCustomers("a=k,b=l*4")
	check.NoError(t, "customers", err)
	check.Equal(t, "customer", customers[1], Customer{"b", "l", 4})
	services, err := ParseServices("m=model,p=plain:/loans/")
	check.NoError(t, "services", err)
	check.Equal(t, "service", services[1], Service{Name: "p", Path: "/loans"})
	span, err := ParseSpan("3-7")
	check.NoError(t, "span", err)
	check.Equal(t, "span", span, Span{3, 7})
	for _, text := range []string{"x", "=k", "a=", "a=k*0"} {
		_, err := ParseCustomers(text)
		check.Is(t, text, err, ErrOptions)
	}
	for _, text := range []string{"x", "a=plain:loans", "=model"} {
		_, err := ParseServices(text)
		check.Is(t, text, err, ErrOptions)
	}
	for _, text := range []string{"7-3", "-1", "a"} {
		_, err := ParseSpan(text)
		check.Is(t, text, err, ErrOptions)
	}
	_, err = ParseMix("streamed=x")
	check.Is(t, "mix", err, ErrOptions)
}

// Guards against a checker that derives the expected text from the response instead
// of the prompt.
func TestStreamComparesWithThePrompt(t *testing.T) {
	event := func(content, finish, usage string) string {
		return `data: {"choices":[{"delta":{"content":"` + content + `"},"finish_reason":` + finish + `}]` + usage + "}\n\n"
	}
	text := answer.New("p").Range(0, 2)
	usage := `,"usage":{"prompt_tokens":1,"completion_tokens":2}`
	cases := []struct {
		name, body string
		want       error
	}{
		{"whole", event(text, "null", "") + event("", `"length"`, usage) + "data: [DONE]\n\n", nil},
		{"part of a token", event(text[:20], "null", "") + event(text[20:], `"length"`, usage) + "data: [DONE]\n\n", errWrongResponse},
		{"without usage", event(text, `"length"`, "") + "data: [DONE]\n\n", errWrongResponse},
		{"after the terminator", event(text, `"length"`, usage) + "data: [DONE]\n\n" + event(text, "null", ""), errWrongResponse},
		{"terminator alone", "data: [DONE]\n\n", errWrongResponse},
		{"empty", "", errWrongResponse},
		{"incomplete last line", event(text, `"length"`, usage) + "data: [DONE]\n\ndata", errWrongResponse},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newStreamChecker(strings.NewReader(c.body), "p", 2, 64)
			var err error
			for err == nil {
				_, err = s.next()
			}
			if err == io.EOF {
				err = s.end()
			}
			check.Is(t, "error", err, c.want)
		})
	}
}
