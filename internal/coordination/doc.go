// Package coordination groups the packages that hold the decision logic. A
// decision function takes a snapshot and a time and returns actions; it does no
// input or output, reads no clock and starts no goroutine, so that tests and
// benchmarks can replay it.
package coordination
