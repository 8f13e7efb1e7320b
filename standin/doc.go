// Package standin is the root of its module.
package standin
