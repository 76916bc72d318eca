// Package protocol groups the packages that turn messages and files into typed
// values and back.
package protocol
