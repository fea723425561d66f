package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	maxQueuedExports  = 1024
	maxPieceBodyBytes = 64 << 10
	storeTimeout      = 2 * time.Second
)

type exportJob struct {
	digest unit.Digest
	piece  storedPiece
}

// storedPiece is stored in the cache store in place of the KV cache of a piece.
type storedPiece struct {
	Weights unit.WeightsVersion `json:"weights-version"`
	Tokens  unit.Tokens         `json:"tokens"`
}

// queueExport queues a piece for export to the cache store. It drops the piece if the queue is full, because an export is
// only an optimisation.
func (e *Emulator) queueExport(digest unit.Digest, weights unit.WeightsVersion, tokens unit.Tokens) {
	if e.options.Store == "" {
		return
	}
	select {
	case e.exports <- exportJob{digest, storedPiece{Weights: weights, Tokens: tokens}}:
	default:
	}
}

func (e *Emulator) exportPieces(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-e.exports:
			if err := e.putPiece(ctx, job); err != nil {
				klog.V(2).Infof("engine: piece %s was not exported: %v", job.digest, err)
			}
		}
	}
}

func (e *Emulator) putPiece(ctx context.Context, job exportJob) error {
	data, err := json.Marshal(job.piece)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, pieceURL(e.options.Store, job.digest), bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := e.client.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// importPiece fetches one piece from the cache store and waits for the emulated transfer time. It returns false if the
// piece cannot be fetched or does not match the weights and size; the engine then computes it.
func (e *Emulator) importPiece(ctx context.Context, j *job, digest unit.Digest, size unit.Tokens) bool {
	//nolint:gosec // the endpoint protocol lets the router name the store to import from
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, pieceURL(j.importFrom, digest), nil)
	if err != nil {
		return false
	}
	response, err := e.client.Do(request) //nolint:gosec // see above
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxPieceBodyBytes))
	var piece storedPiece
	if err != nil || response.StatusCode != http.StatusOK || json.Unmarshal(data, &piece) != nil {
		return false
	}
	if piece.Weights != j.weights || piece.Tokens < size {
		return false
	}
	seconds := float64(size) / e.options.ImportRate
	return sleepUntil(ctx, time.Now().Add(e.scale(time.Duration(seconds*float64(time.Second))))) == nil
}

func pieceURL(address string, digest unit.Digest) string {
	return "http://" + address + "/store/v1/pieces/" + digest.String()
}
