// Package session holds golden files of whole sessions between a caller, an
// entry, agents and their upstreams, in virtual time. It has only tests:
// "go test ./session -update" rewrites the files, which are reviewed by reading.
package session
