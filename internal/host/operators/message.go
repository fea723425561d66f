package operators

import (
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// HostStatus is a host's status as the host itself reports it.
type HostStatus struct {
	Name          unit.HostName             `json:"name"`
	DataCentre    unit.DataCentre           `json:"data-centre"`
	Roles         []string                  `json:"roles"`
	Incarnation   unit.Incarnation          `json:"incarnation"`
	Ready         bool                      `json:"ready"`
	Configuration unit.ConfigurationVersion `json:"configuration-version"`
	SheetDigest   string                    `json:"sheet-digest,omitempty"`
	// ValidFor is how long the entry role may still serve the configuration without a new confirmation.
	ValidFor       time.Duration `json:"valid-for-ns,omitempty"`
	Running        int           `json:"running"`
	Waiting        int           `json:"waiting"`
	Endpoints      int           `json:"endpoints"`
	IndexPieces    int           `json:"index-pieces"`
	RecordUnsynced int           `json:"record-unsynced"`
	Groups         []GroupStatus `json:"groups,omitempty"`
	Rollout        []ModelStatus `json:"rollout,omitempty"`
}

// GroupStatus is one consensus group as one control host sees it.
type GroupStatus struct {
	Group    int           `json:"group"`
	Leader   unit.HostName `json:"leader"`
	Term     uint64        `json:"term"`
	Applied  uint64        `json:"applied"`
	Voters   []string      `json:"voters"`
	Learners []string      `json:"learners,omitempty"`
	LogBytes int64         `json:"log-bytes"`
	LastSync time.Duration `json:"last-sync-ns"`
	// LeftAside is the folder of a damaged log whose place the group's log on this host has taken.
	LeftAside string `json:"left-aside,omitempty"`
}

// ModelStatus is the progress of the rollout of one model's weights.
type ModelStatus struct {
	Model    unit.ModelName      `json:"model"`
	Target   unit.WeightsVersion `json:"target"`
	Replicas int                 `json:"replicas"`
	Done     int                 `json:"done"`
	Loading  int                 `json:"loading"`
	Failed   int                 `json:"failed"`
	Paused   bool                `json:"paused,omitempty"`
	Aborted  bool                `json:"aborted,omitempty"`
	Blocked  string              `json:"blocked,omitempty"`
}

// EndpointStatus is one endpoint as one entry host knows it.
type EndpointStatus struct {
	Endpoint    unit.EndpointID     `json:"endpoint-id"`
	Kind        string              `json:"kind"`
	Name        string              `json:"name"`
	Address     string              `json:"address"`
	DataCentre  unit.DataCentre     `json:"data-centre"`
	Incarnation unit.Incarnation    `json:"incarnation"`
	Weights     unit.WeightsVersion `json:"weights-version,omitempty"`
	State       string              `json:"state"` // usable, draining, loading or silent
	Running     int                 `json:"running"`
	Queued      int                 `json:"queued"`
	InFlight    int                 `json:"in-flight"`
}

// Order is the body of POST /operator/v1/orders. Sheet is in the canonical encoding.
type Order struct {
	ID      unit.OrderID                           `json:"order-id"`
	Base    unit.ConfigurationVersion              `json:"base-version"`
	Sheet   []byte                                 `json:"sheet,omitempty"`
	Weights map[unit.ModelName]unit.WeightsVersion `json:"weights,omitempty"`
}

// OrderAnswer is the answer to POST /operator/v1/orders and to POST /operator/v1/rollout.
type OrderAnswer struct {
	Accepted       bool                      `json:"accepted"`
	Version        unit.ConfigurationVersion `json:"version"`
	WinnerOrder    unit.OrderID              `json:"winner-order,omitempty"`
	WinnerOperator string                    `json:"winner-operator,omitempty"`
	Reason         string                    `json:"reason,omitempty"`
}

// Configuration is the answer to GET /operator/v1/configuration.
type Configuration struct {
	Version     unit.ConfigurationVersion              `json:"version"`
	SheetDigest string                                 `json:"sheet-digest"`
	Sheet       []byte                                 `json:"sheet"`
	Weights     map[unit.ModelName]unit.WeightsVersion `json:"weights"`
}

// Resolve is the body of POST /operator/v1/claims/resolve.
type Resolve struct {
	Customer unit.CustomerID `json:"customer"`
	Key      string          `json:"key"`
	Outcome  unit.Outcome    `json:"outcome"`
	Reason   string          `json:"reason"`
}

// ResolveAnswer is the answer to POST /operator/v1/claims/resolve: the state of the claim after the resolution.
type ResolveAnswer struct {
	State string `json:"state"`
}

// Intervention is the body of POST /operator/v1/rollout.
type Intervention struct {
	Action string         `json:"action"`
	Model  unit.ModelName `json:"model"`
	Reason string         `json:"reason"`
}

// MemberChange is the body of POST /operator/v1/members.
type MemberChange struct {
	Add    unit.HostName `json:"add,omitempty"`
	Remove unit.HostName `json:"remove,omitempty"`
}

// Failure is the body of an error answer. Code is the name of the error's type.
type Failure struct {
	Error string `json:"error"`
	Code  string `json:"code"`
}
