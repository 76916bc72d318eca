// Package transport groups the packages that use sockets.
package transport
