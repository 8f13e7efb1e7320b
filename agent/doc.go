// Package agent is the root of its module.
package agent
