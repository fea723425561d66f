// Package usage enforces the customers' limits over all hosts together. Each entry host has a Meter, which admits or refuses requests, and
// each control host a Ledger, which keeps one token bucket per customer. Meters report what they admitted with every sync, ledgers exchange
// their counters, and the answers to the reports carry the levels of the buckets that aren't nearly full. Both are deterministic and not safe
// for concurrent use.
package usage

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// Key identifies a customer in messages. It is a hash of the name, so that it doesn't depend on the version of the table.
type Key uint64

// KeyOf returns the key of a customer.
func KeyOf(c unit.CustomerID) Key {
	return Key(xxhash.Sum64String(string(c)))
}

// hostKey identifies a host in messages.
type hostKey uint32

func hostKeyOf(h unit.HostName) hostKey {
	return hostKey(uint32(xxhash.Sum64String(string(h)))) //nolint:gosec // the lower half of the hash
}

// Amount is what requests of one customer count together, in the unit of its limit.
type Amount struct {
	_        struct{} `cbor:",toarray"`
	Customer Key
	Admitted int64 // of requests that weren't refused by the limit; negative if more was returned than admitted
	Others   int64 // of the other requests, refused or returned; mostly 0, which takes one byte
}

// offered returns what all requests count.
func (a Amount) offered() int64 {
	return a.Admitted + a.Others
}

// isZero reports whether the amount counts no request. Counters of 0 say that they begin again.
func (a Amount) isZero() bool {
	return a.Admitted == 0 && a.Others == 0
}

// Report is what an entry host's customers used since the last report that a control host acknowledged.
type Report struct {
	// Session identifies the meter, so that the reports of a restarted host aren't taken for repeated ones.
	Session uint64 `cbor:"1,keyasint"`
	// Number grows with each report. After is the number of the last acknowledged one.
	Number  uint64   `cbor:"2,keyasint"`
	After   uint64   `cbor:"3,keyasint,omitempty"`
	Amounts []Amount `cbor:"4,keyasint,omitempty"`
	// Short is set by meters that understand short answers. It holds Number - After, and amounts with short keys. Once a control host has answered with
	// Levels.Short, After and Amounts are left out, so that a build before counts nothing of the report, and Full holds the amounts whose short keys were
	// unclear.
	Short []byte   `cbor:"5,keyasint,omitempty"`
	Full  []Amount `cbor:"6,keyasint,omitempty"`
}

// Level is the state of one customer's bucket. The rates are per second, over all hosts together.
type Level struct {
	_        struct{} `cbor:",toarray"`
	Customer Key
	Level    int64 // negative after more was admitted than the limit allows
	Offered  uint64
	Admitted uint64
}

// fullLevel says in Level that a bucket is nearly full again.
const fullLevel = math.MaxInt64

// Levels is a control host's answer to a report. It includes what the report says.
type Levels struct {
	// Covered of Hosts entry hosts are covered by the account of this control host. Its buckets fill at that share of the limits. Both are left out
	// if they haven't changed since the last answer.
	Hosts   int `cbor:"1,keyasint,omitempty"`
	Covered int `cbor:"2,keyasint,omitempty"`
	// Known is set if Levels holds all buckets that aren't nearly full. Without it the meter keeps the other levels that it has.
	Known  bool    `cbor:"3,keyasint,omitempty"`
	Levels []Level `cbor:"4,keyasint,omitempty"`
	// Short answers a report with Report.Short and says that it was read. It holds Known and the levels of customers that share their short keys with
	// no other one; Levels holds those of the others.
	Short []byte `cbor:"5,keyasint,omitempty"`
	// Unclear are short keys in the report that belong to several customers. Their amounts weren't counted and have to be sent with full keys.
	Unclear []shortKey `cbor:"6,keyasint,omitempty"`
}

// Update is what a control host tells another one: its counters that have changed after a number that the reader has read.
type Update struct {
	Number  uint64   `cbor:"1,keyasint,omitempty"`
	After   uint64   `cbor:"4,keyasint,omitempty"` // the number that the reader has read
	Amounts []Amount `cbor:"2,keyasint,omitempty"` // since the start of the control host
	// Hosts are the entry hosts that report to the sender. They are left out of most updates; Listed is set in those that have them.
	Hosts  []hostKey `cbor:"3,keyasint,omitempty"`
	Listed bool      `cbor:"5,keyasint,omitempty"`
}
