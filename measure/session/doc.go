// Package session compares whole sessions between a caller, an entry, agents and
// their upstreams, run in virtual time, with golden files. It has only tests:
// "go test ./session -update" rewrites the golden files; review the changes.
package session
