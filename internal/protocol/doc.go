// Package protocol groups the packages that encode typed values as messages and files, and
// decode them.
package protocol
