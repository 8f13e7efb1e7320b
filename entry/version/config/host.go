package config

import "strings"

// canonicalHost returns the form in which the hosts of routes and requests are compared: in lower case,
// without a port, and without the brackets of an IPv6 address.
func canonicalHost(host string) string {
	if inner, hasBracket := strings.CutPrefix(host, "["); hasBracket {
		address, rest, isClosed := strings.Cut(inner, "]")
		if isClosed && (rest == "" || rest[0] == ':') {
			host = address
		}
	} else if name, _, _ := strings.Cut(host, ":"); strings.Count(host, ":") == 1 {
		host = name
	}
	return strings.ToLower(host)
}
