package configuration

import (
	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
)

// Reasons of an Answer that isn't accepted.
const (
	// ReasonStaleBase refuses an order whose base version already has a successor.
	ReasonStaleBase = "stale-base"
	// ReasonUnknownBase refuses an order whose base version doesn't exist yet.
	ReasonUnknownBase = "unknown-base"
	// ReasonOrderReused refuses an order whose id was used before with other content.
	ReasonOrderReused = "order-id-reused"
	// ReasonTooLarge refuses an order that exceeds a size limit.
	ReasonTooLarge = "too-large"
	// ReasonTooManyOrders refuses an order because the machine already remembers the maximum number of answers.
	ReasonTooManyOrders = "too-many-orders"
	// ReasonBadCommand refuses a command that can't be decoded or lacks its order id, operator or content.
	ReasonBadCommand = "bad-command"
)

// Command is the log entry of this machine; Order must be set.
type Command struct {
	// AtUnixMilli is the leader's wall clock when it proposed the command.
	AtUnixMilli int64  `cbor:"at-unix-milli"`
	Order       *Order `cbor:"order,omitempty"`
}

// Order requests a new configuration on top of version Base. An empty Sheet keeps the current sheet, and a nil Weights keeps
// the current target weights; a Weights that isn't nil replaces the targets of all models.
type Order struct {
	ID       unit.OrderID                           `cbor:"id"`
	Operator string                                 `cbor:"operator"`
	Base     unit.ConfigurationVersion              `cbor:"base"`
	Sheet    []byte                                 `cbor:"sheet,omitempty"`
	Weights  map[unit.ModelName]unit.WeightsVersion `cbor:"weights"`
}

// Answer is the result of an order. Version is the version that the order created if it was accepted, and otherwise the
// version that was current when the order was first applied. The winner is the order that was accepted on the same base.
type Answer struct {
	Accepted       bool                      `cbor:"accepted"`
	Version        unit.ConfigurationVersion `cbor:"version"`
	WinnerOrder    unit.OrderID              `cbor:"winner-order,omitempty"`
	WinnerOperator string                    `cbor:"winner-operator,omitempty"`
	Reason         string                    `cbor:"reason,omitempty"`
}

// Current is one whole configuration. SheetDigest is the hex SHA-256 of Sheet. The slices and the map are shared with
// the machine and must not be changed.
type Current struct {
	Version     unit.ConfigurationVersion              `cbor:"version"`
	SheetDigest string                                 `cbor:"sheet-digest"`
	Sheet       []byte                                 `cbor:"sheet"`
	Order       unit.OrderID                           `cbor:"order"`
	Weights     map[unit.ModelName]unit.WeightsVersion `cbor:"weights"`
}

// EncodeCommand returns the log entry of a command.
func EncodeCommand(command Command) ([]byte, error) {
	return codec.Marshal(command)
}

// DecodeCommand reads a log entry. It fails with fault.BadPeer or fault.BadInput.
func DecodeCommand(data []byte) (Command, error) {
	var command Command
	if err := codec.Unmarshal(data, &command); err != nil {
		return Command{}, err
	}
	order := command.Order
	if order == nil || order.ID == "" || order.Operator == "" || (len(order.Sheet) == 0 && order.Weights == nil) {
		return Command{}, fault.BadInput.New("the command has no order, or the order lacks its id, operator or content")
	}
	return command, nil
}

// DecodeAnswer reads the result of Apply. It fails with fault.BadPeer.
func DecodeAnswer(data []byte) (Answer, error) {
	var answer Answer
	err := codec.Unmarshal(data, &answer)
	return answer, err
}
