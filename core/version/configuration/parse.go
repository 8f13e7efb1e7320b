package configuration

import (
	"encoding/hex"
	"regexp"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/tailscale/hujson"

	"goldcrestshore/core/process/clock"
)

// Parse parses and validates a configuration. Its error is of type Problems.
func Parse(raw []byte) (*Configuration, error) {
	d := &decoder{report{raw: raw}}
	if len(raw) > MaxBytes {
		d.add(MaxBytes, ErrTooLarge, "%d bytes, limit is %d", len(raw), MaxBytes)
		return nil, d.problems
	}
	if at := findExcessNesting(raw); at >= 0 {
		d.add(at, ErrSyntax, "brackets are nested more than %d levels deep", maxNesting)
		return nil, d.problems
	}
	root, err := hujson.Parse(raw)
	if err != nil {
		d.syntax(err)
		return nil, d.problems
	}
	p := &parser{decoder: d}
	p.root(&root)
	config := p.build()
	if len(d.problems) > 0 {
		return nil, d.problems
	}
	config.hash = xxhash.Sum64(raw)
	return config, nil
}

// syntaxError matches the error messages of hujson, which does not return the
// position in any other form.
var syntaxError = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (?s:(.*))$`)

func (d *decoder) syntax(err error) {
	problem := &Problem{line: 1, column: 1, cause: ErrSyntax, detail: err.Error()}
	if m := syntaxError.FindStringSubmatch(err.Error()); m != nil {
		problem.line, _ = strconv.Atoi(m[1])
		problem.column, _ = strconv.Atoi(m[2])
		problem.detail = m[3]
	}
	d.problems = append(d.problems, problem)
}

// parser holds the decoded parts of a configuration until build has checked the
// references between them.
type parser struct {
	*decoder
	dataCentres []draftDataCentre
	services    []draftService
	customers   []draftCustomer
	models      []locatedName
	adapters    []draftAdapter
}

type draftDataCentre struct {
	name, region locatedName
}

type draftRoute struct {
	offset     int
	method     locatedName
	path       locatedName
	idempotent bool
}

type draftService struct {
	name                              locatedName
	kind                              locatedName
	routes                            []draftRoute
	dependsOn                         []locatedName
	firstToken, betweenTokens         int64
	percent                           float64
	coldLimit, warmLimit              int64
	memoryPerToken, memoryBudgetBytes int64
	checksFencing                     bool
	groupRanks                        int64
	offset                            int
}

type draftCustomer struct {
	name                         locatedName
	keyHashes                    []locatedName
	weight, concurrent, priority int64
	rate                         float64
}

type draftAdapter struct {
	name, model locatedName
}

func (p *parser) root(v *hujson.Value) {
	p.object(v,
		member{"dataCentres", true, p.list(p.dataCentre)},
		member{"services", true, p.list(p.service)},
		member{"customers", false, p.list(p.customer)},
		member{"models", false, p.list(p.model)},
		member{"adapters", false, p.list(p.adapter)},
	)
}

func (p *parser) dataCentre(v *hujson.Value) {
	var d draftDataCentre
	p.object(v,
		member{"name", true, p.name(&d.name)},
		member{"region", true, p.name(&d.region)},
	)
	p.dataCentres = append(p.dataCentres, d)
}

func (p *parser) service(v *hujson.Value) {
	s := draftService{offset: v.StartOffset, warmLimit: defaultWarmLimit, coldLimit: defaultColdLimit}
	p.object(v,
		member{"name", true, p.name(&s.name)},
		member{"kind", true, p.str(&s.kind)},
		member{"routes", false, p.list(func(v *hujson.Value) { s.routes = append(s.routes, p.route(v)) })},
		member{"dependsOn", false, p.names(&s.dependsOn)},
		member{"objective", false, func(v *hujson.Value) { p.objective(v, &s) }},
		member{"coldLimit", false, p.integer(&s.coldLimit, 1, maxCount)},
		member{"warmLimit", false, p.integer(&s.warmLimit, 1, maxCount)},
		member{"memoryPerTokenBytes", false, p.integer(&s.memoryPerToken, 0, maxMemoryBytes)},
		member{"memoryBudgetBytes", false, p.integer(&s.memoryBudgetBytes, 0, maxMemoryBytes)},
		member{"checksFencing", false, p.boolean(&s.checksFencing)},
		member{"groupRanks", false, p.integer(&s.groupRanks, 0, maxCount)},
	)
	p.services = append(p.services, s)
}

// Default limits of a service. A cold upstream takes one request at a time until
// completed requests raise its limit.
const (
	defaultColdLimit = 1
	defaultWarmLimit = 64
)

func (p *parser) route(v *hujson.Value) draftRoute {
	r := draftRoute{offset: v.StartOffset}
	p.object(v,
		member{"method", true, p.str(&r.method)},
		member{"path", true, p.str(&r.path)},
		member{"idempotent", false, p.boolean(&r.idempotent)},
	)
	return r
}

func (p *parser) objective(v *hujson.Value, s *draftService) {
	p.object(v,
		member{"firstTokenMs", true, p.integer(&s.firstToken, 1, maxDurationMs)},
		member{"betweenTokensMs", false, p.integer(&s.betweenTokens, 0, maxDurationMs)},
		member{"percent", true, p.number(&s.percent, 0, maxPercent)},
	)
}

func (p *parser) customer(v *hujson.Value) {
	c := draftCustomer{weight: 1}
	p.object(v,
		member{"name", true, p.name(&c.name)},
		member{"keyHashes", true, p.digests(&c.keyHashes)},
		member{"weight", false, p.integer(&c.weight, 1, maxCount)},
		member{"requestsPerSecond", false, p.number(&c.rate, 0, maxCount)},
		member{"concurrent", false, p.integer(&c.concurrent, 0, maxCount)},
		member{"priority", false, p.integer(&c.priority, -maxPriority, maxPriority)},
	)
	p.customers = append(p.customers, c)
}

func (p *parser) model(v *hujson.Value) {
	var name locatedName
	p.object(v, member{"name", true, p.name(&name)})
	p.models = append(p.models, name)
}

func (p *parser) adapter(v *hujson.Value) {
	var a draftAdapter
	p.object(v,
		member{"name", true, p.name(&a.name)},
		member{"model", true, p.name(&a.model)},
	)
	p.adapters = append(p.adapters, a)
}

// build checks the references between the parts and returns the configuration.
// It is valid only if no problem was reported.
func (p *parser) build() *Configuration {
	config := &Configuration{
		serviceByName:     make(map[string]*Service, len(p.services)),
		customersByDigest: make(map[uint64][]keyEntry, len(p.customers)),
		routes:            routeTable{},
	}
	p.buildDataCentres(config)
	p.buildServices(config)
	p.buildCustomers(config)
	p.buildModels(config)
	p.checkDependencies()
	return config
}

func (p *parser) buildDataCentres(config *Configuration) {
	seen := make(nameSet)
	for _, d := range p.dataCentres {
		p.checkUnique(seen, d.name, "data centre")
		config.dataCentres = append(config.dataCentres, &DataCentre{d.name.name, d.region.name})
	}
}

func (p *parser) buildServices(config *Configuration) {
	seen := make(nameSet)
	for i := range p.services {
		d := &p.services[i]
		p.checkUnique(seen, d.name, "service")
		s := d.toService()
		p.checkService(d, s)
		p.buildRoutes(config, d, s)
		config.services = append(config.services, s)
		config.serviceByName[s.name] = s
	}
}

func (d *draftService) toService() *Service {
	s := &Service{
		name:          d.name.name,
		kind:          Kind(d.kind.name),
		table:         routeTable{},
		objective:     Objective{clock.Millis(d.firstToken), clock.Millis(d.betweenTokens), d.percent},
		coldLimit:     int(d.coldLimit),
		warmLimit:     int(d.warmLimit),
		bytesPerToken: d.memoryPerToken,
		memoryBudget:  d.memoryBudgetBytes,
		checksFencing: d.checksFencing,
		groupRanks:    int(d.groupRanks),
	}
	for _, name := range d.dependsOn {
		s.dependsOn = append(s.dependsOn, name.name)
	}
	return s
}

func (p *parser) buildRoutes(config *Configuration, d *draftService, s *Service) {
	for _, dr := range d.routes {
		p.checkRoute(dr)
		r := Route{dr.method.name, dr.path.name, dr.idempotent}
		if !config.routes.add(s, r) || (r.method == ModelMethod && r.path == ModelPath) {
			p.add(dr.offset, ErrDuplicateRoute, "%s %s", r.method, r.path)
		}
		s.table.add(s, r)
		s.routes = append(s.routes, r)
	}
}

func (p *parser) buildCustomers(config *Configuration) {
	seen, hashes := make(nameSet), make(nameSet)
	for _, d := range p.customers {
		p.checkUnique(seen, d.name, "customer")
		c := &Customer{d.name.name, int(d.weight), d.rate, int(d.concurrent), int(d.priority)}
		config.customers = append(config.customers, c)
		for _, h := range d.keyHashes {
			p.buildKey(config, hashes, h, c)
		}
	}
}

func (p *parser) buildKey(config *Configuration, seen nameSet, h locatedName, c *Customer) {
	if first, taken := seen[h.name]; taken {
		p.add(h.offset, ErrDuplicateKey, "first used on line %d", p.line(first))
		return
	}
	seen[h.name] = h.offset
	entry := keyEntry{customer: c}
	// The decoder has already validated the digits and the length.
	_, _ = hex.Decode(entry.digest[:], []byte(h.name))
	prefix := digestPrefix(entry.digest)
	config.customersByDigest[prefix] = append(config.customersByDigest[prefix], entry)
}

func (p *parser) buildModels(config *Configuration) {
	models, adapters := make(nameSet), make(nameSet)
	for _, m := range p.models {
		p.checkUnique(models, m, "model")
		config.models = append(config.models, m.name)
	}
	for _, a := range p.adapters {
		p.checkUnique(adapters, a.name, "adapter")
		if _, ok := models[a.model.name]; !ok && a.model.name != "" {
			p.add(a.model.offset, ErrUnknownName, "model %q", a.model.name)
		}
		config.adapters = append(config.adapters, &Adapter{a.name.name, a.model.name})
	}
}
