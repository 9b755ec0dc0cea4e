// Package examples contains settings files, tables and machine lists of two example
// deployments. Its tests validate all of them.
package examples
