// Package unit defines named types for identifiers and quantities, so that the compiler rejects, for instance, a customer id
// where a host name is expected.
package unit
