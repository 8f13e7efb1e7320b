// Package core holds what the goldcrestshore programs share.
package core
