package config

import (
	"fmt"
	"math"
	"testing"

	"goldcrestshore/core/process/check"
)

func sample() *Config {
	routes := []Route{
		{Name: "short", Host: "a.example", PathPrefix: "/x/", Shares: []Share{{"s1", 1}}},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/", Shares: []Share{{"s1", 90}, {"s2", 10}}},
		{Name: "other", Host: "b.example", PathPrefix: "/", Shares: []Share{{"s2", 1}}},
	}
	customers := []Customer{{Name: "one", Keys: []string{"k1", "k2"}, Priority: -1}}
	return New(Parts{Version: 7, Routes: routes, Services: []Service{{Name: "s1"}}, Customers: customers})
}

// Guards against matching a shorter prefix or the route of another host.
func TestMatchPrefersLongestPrefixOfHost(t *testing.T) {
	c := sample()
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"A.example:80", "/x/y/1", "long"},
		{"a.example", "/x", ""},
		{"b.example", "/x/y/1", "other"},
		{"c.example", "/x/1", ""},
	} {
		t.Run(tc.host+tc.path, func(t *testing.T) {
			got := ""
			if r := c.Match(tc.host, tc.path); r != nil {
				got = r.Name
			}
			check.Equal(t, "route", got, tc.want)
		})
	}
}

// Guards against a route that no request reaches since the configuration writes its host in another form
// than callers do: with capital letters, with a port, or as an IPv6 address (review/15).
func TestHostsAreComparedInOneForm(t *testing.T) {
	for _, tc := range []struct {
		configured, requested string
		want                  bool
	}{
		{"Desk.example", "Desk.example", true},
		{"Desk.example", "desk.example", true},
		{"desk.example", "DESK.example:8080", true},
		{"desk.example:80", "desk.example", true},
		{"[::1]", "[::1]", true},
		{"[::1]", "[::1]:80", true},
		{"::1", "[::1]", true},
		{"[FE80::A]", "[fe80::a]:80", true},
		{"10.0.0.1", "10.0.0.1:80", true},
		{"", "", true},
		{"desk.example", "desk.example.org", false},
		{"desk", "desk.example", false},
		{"[::1]", "[::2]", false},
		{"[::1]", "[::1", false},
	} {
		t.Run(tc.configured+" "+tc.requested, func(t *testing.T) {
			c := New(Parts{Routes: []Route{{Host: tc.configured, PathPrefix: "/"}}})
			check.Equal(t, "matches", c.Match(tc.requested, "/x") != nil, tc.want)
		})
	}
}

// Guards against two routes that differ in the letters of their hosts alone and get requests by chance.
func TestFirstOfEqualRoutesIsUsed(t *testing.T) {
	c := New(Parts{Routes: []Route{
		{Name: "first", Host: "Desk.example", PathPrefix: "/a/"},
		{Name: "second", Host: "desk.example", PathPrefix: "/a/"},
		{Name: "longer", Host: "DESK.example", PathPrefix: "/a/b/"},
	}})
	for _, host := range []string{"Desk.example", "desk.example", "DESK.EXAMPLE:80"} {
		check.Equal(t, host, c.Match(host, "/a/x").Name, "first")
		check.Equal(t, host+" with a longer path", c.Match(host, "/a/b/x").Name, "longer")
	}
	check.Equal(t, "problems", c.Problems().String(), `route "second" has the host and path prefix of route "first" and is not used`)
}

// Guards against a traffic split that ignores the weights.
func TestPickFollowsWeights(t *testing.T) {
	r := sample().Match("a.example", "/x/y/")
	check.Equal(t, "low draw", r.Pick(0.1), "s1")
	check.Equal(t, "draw below the weight", r.Pick(0.899), "s1")
	check.Equal(t, "high draw", r.Pick(0.95), "s2")
	check.Equal(t, "route without services", (&Route{}).Pick(0.5), "")
}

// Guards against requests for a service whose weight is 0, which gets none.
func TestShareWithoutWeightGetsNothing(t *testing.T) {
	for _, tc := range []struct {
		name   string
		shares []Share
		want   string
	}{
		{"first", []Share{{"s1", 0}, {"s2", 1}}, "s2"},
		{"last", []Share{{"s1", 1}, {"s2", 0}}, "s1"},
		{"all", []Share{{"s1", 0}, {"s2", 0}}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := &Route{Shares: tc.shares}
			for _, draw := range []float64{0, 0.5, math.Nextafter(1, 0), 1} {
				check.Equal(t, fmt.Sprint("draw ", draw), r.Pick(draw), tc.want)
			}
		})
	}
}

// Guards against a key that is not found or is attributed to another customer.
func TestCustomerByKey(t *testing.T) {
	c := sample()
	check.Equal(t, "customer of a key", c.Customer("k2").Name, "one")
	check.Equal(t, "unknown key has a customer", c.Customer("k3") != nil, false)
	check.Equal(t, "empty key has a customer", c.Customer("") != nil, false)
}
