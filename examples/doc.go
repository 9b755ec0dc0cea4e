// Package examples holds settings files, tables and machine lists of both
// deployments at today's sizes; its test checks every one of them.
package examples
