// Package ctl is the root of its module.
package ctl
