// Package entry is the root of its module.
package entry
