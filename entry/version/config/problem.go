package config

import "strings"

// Problem is a value in the text of a configuration that can't be used as it is written. It is left
// out or cut, and the rest of the version is in force.
type Problem struct {
	part, member, detail string
}

// NewProblem returns a problem of a member of a part of the configuration, or of the part itself if
// member is empty.
func NewProblem(part, member, detail string) Problem { return Problem{part, member, detail} }

func (p Problem) String() string {
	if p.member == "" {
		return p.part + " " + p.detail
	}
	return p.part + ": " + p.member + " " + p.detail
}

// maxListed bounds the problems of a version that are kept with their texts.
const maxListed = 8

// Problems counts the problems of a version and keeps the first ones. The zero value has none.
type Problems struct {
	count int
	first []Problem
}

// Add adds a problem.
func (p *Problems) Add(problem Problem) {
	p.count++
	if len(p.first) < maxListed {
		p.first = append(p.first, problem)
	}
}

// Count returns the number of problems.
func (p *Problems) Count() int { return p.count }

// String returns the texts of the first problems.
func (p *Problems) String() string {
	var texts []string
	for _, problem := range p.first {
		texts = append(texts, problem.String())
	}
	return strings.Join(texts, "; ")
}
