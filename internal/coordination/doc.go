// Package coordination groups the packages that decide. A decision takes a
// snapshot and a time and returns actions; it does no input or output, reads no
// clock and starts no goroutine.
package coordination
