// Package transport groups the packages that communicate over the network: clients, servers
// and connection handling.
package transport
