package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// filler pads prompts with multi-byte characters, as in the customers' own texts.
const filler = "Resumen de la bicicleta de mano: la niña aprendió a girar; ri ak'al xretamaj, chuqa' jeb'ël rub'eyal. "

// request is one planned request.
type request struct {
	number   int
	kind     Kind
	customer Customer
	service  Service
	entry    int
	// after is the interval between the start of the previous request and this one.
	after  time.Duration
	prompt string
	tokens int
	path   string
	method string
	body   []byte
	key    string
}

// planner draws random requests; equal options yield equal requests.
type planner struct {
	options *Options
	random  *rand.Rand
	model   []Service
	plain   []Service
	number  int
	// runLabel distinguishes the requests of runs with different seeds in the ledgers.
	runLabel string
}

func newPlanner(o *Options) *planner {
	p := &planner{options: o, random: rand.New(rand.NewPCG(o.Seed, 7)), runLabel: strconv.FormatUint(o.Seed, 36)}
	p.model, p.plain = o.targets()
	return p
}

// newSlowPlanner returns a planner for slow readers. It has its own random source,
// so that slow readers do not change the draws of the normal requests.
func newSlowPlanner(o *Options) *planner {
	p := newPlanner(o)
	p.random = rand.New(rand.NewPCG(o.Seed, 8))
	p.runLabel += "s"
	return p
}

// next draws the next request.
func (p *planner) next() *request {
	r := &request{number: p.number}
	p.number++
	r.after = time.Duration(p.random.ExpFloat64() / p.options.Rate * float64(time.Second))
	r.kind = p.drawKind()
	r.customer = p.drawCustomer()
	r.entry = p.random.IntN(len(p.options.Entries))
	switch r.kind {
	case Streamed, Whole:
		p.fillChat(r)
	case Plain, Keyed, Unkeyed:
		p.fillPlain(r)
	}
	return r
}

// slow draws the next request of a slow reader.
func (p *planner) slow() *request {
	r := &request{number: p.number, kind: Streamed}
	p.number++
	r.customer = p.drawCustomer()
	r.entry = p.random.IntN(len(p.options.Entries))
	p.fillChat(r)
	r.tokens = p.options.SlowTokens
	r.body = chatBody(r)
	return r
}

func (p *planner) drawKind() Kind {
	total := 0
	for _, k := range kinds {
		total += p.options.Mix[k]
	}
	n := p.random.IntN(max(1, total))
	for _, k := range kinds {
		if n -= p.options.Mix[k]; n < 0 {
			return k
		}
	}
	return Streamed
}

func (p *planner) drawCustomer() Customer {
	total := 0
	for _, c := range p.options.Customers {
		total += c.Weight
	}
	n := p.random.IntN(total)
	for _, c := range p.options.Customers {
		if n -= c.Weight; n < 0 {
			return c
		}
	}
	return p.options.Customers[0]
}

func (p *planner) draw(s Span) int { return s.Low + p.random.IntN(s.High-s.Low+1) }

func (p *planner) fillChat(r *request) {
	r.service = p.model[p.random.IntN(len(p.model))]
	r.method, r.path = "POST", "/v1/chat/completions"
	r.tokens = p.draw(p.options.OutputTokens)
	r.prompt = p.prefix() + p.label(r) + p.markerText(r)
	r.prompt += fill(p.draw(p.options.PromptBytes) - len(r.prompt))
	r.body = chatBody(r)
}

// prefix returns one of the shared prompt prefixes.
func (p *planner) prefix() string {
	if p.options.Prefixes == 0 {
		return ""
	}
	n := p.random.IntN(p.options.Prefixes)
	return extend(fmt.Sprintf("system %s-%d. ", p.runLabel, n), p.options.PrefixBytes)
}

// label returns a unique label for the prompt and path of r, so that a response
// delivered to the wrong request is detected.
func (p *planner) label(r *request) string {
	return fmt.Sprintf("%s-%s-%d", r.customer.Name, p.runLabel, r.number)
}

// markerText returns the text after the label, including the marker if r is a
// marked request.
func (p *planner) markerText(r *request) string {
	if p.options.MarkerEvery == 0 || (r.number+1)%p.options.MarkerEvery != 0 {
		return ". "
	}
	return " " + p.options.Marker + ". "
}

func (p *planner) fillPlain(r *request) {
	r.service = p.plain[p.random.IntN(len(p.plain))]
	r.path = r.service.Path + "/" + p.label(r)
	if r.kind == Plain {
		r.method = "GET"
		return
	}
	r.method = "POST"
	r.body = []byte(`{"handover":"` + p.label(r) + p.markerText(r) + `"}`)
	if r.kind == Keyed {
		r.key = p.label(r)
	}
}

// fill returns up to n bytes of filler text, ending with a complete character.
func fill(n int) string { return extend("", n) }

// extend pads or truncates text to at most n bytes, ending with a complete character.
func extend(text string, n int) string {
	for len(text) < n {
		text += filler
	}
	if len(text) > n {
		text = strings.ToValidUTF8(text[:max(0, n)], "")
	}
	return text
}

// chatBody returns the request body in the OpenAI chat completion format.
func chatBody(r *request) []byte {
	body, _ := json.Marshal(chatRequest{
		Model:     r.service.Name,
		Messages:  []chatMessage{{"user", r.prompt}},
		MaxTokens: r.tokens,
		Stream:    r.kind == Streamed,
	})
	return body
}

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}
