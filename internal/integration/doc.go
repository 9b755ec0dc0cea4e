// Package integration tests the daemons as processes: it starts them from the
// built binary before stand-ins, kills and stops each role under load, and
// counts what was lost and doubled at the back ends.
package integration
