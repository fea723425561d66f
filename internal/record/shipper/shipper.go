// Package shipper sends the record of an entry host to the archives of the control hosts.
package shipper

import (
	"compress/flate"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/record/chain"
)

const (
	// maxBatchEntries bounds the entries of one message. A longer backlog is sent in several messages.
	maxBatchEntries = 4096
	// maxBatchBytes bounds the uncompressed size of a received batch. The writer makes batches of about 4 MiB at most.
	maxBatchBytes = 16 << 20
	// sendTimeout leaves enough time for a slow disk sync at an archive.
	sendTimeout = 2 * time.Second
)

// Receipt is an archive's answer to a batch. Through is the last sequence number that the archive has synced.
type Receipt struct {
	Through uint64 `cbor:"1,keyasint"`
}

// Send sends a batch to one archive and returns its answer.
type Send func(ctx context.Context, to unit.HostName, payload []byte) ([]byte, error)

// Shipper sends batches until a majority of the archives has synced them.
type Shipper struct {
	writer   *chain.Writer
	archives []unit.HostName
	send     Send
	interval time.Duration
}

// New returns a shipper for the writer of the host self. An entry waits at most one interval before it is first sent, unless
// earlier entries are still being sent.
func New(self unit.HostName, writer *chain.Writer, archives []unit.HostName, send Send, interval time.Duration) *Shipper {
	return &Shipper{writer: writer, archives: rotateArchives(self, archives), send: send, interval: interval}
}

// rotateArchives rotates the list by a number that depends on the host's name, so that the load of all hosts is spread over
// the archives.
func rotateArchives(self unit.HostName, archives []unit.HostName) []unit.HostName {
	start := int(xxhash.Sum64String(string(self)) % uint64(max(len(archives), 1)))
	return slices.Concat(archives[start:], archives[:start])
}

// Pack encodes and compresses a batch. Entries of one batch are similar, so compression makes it much smaller.
func Pack(batch chain.Batch) ([]byte, error) {
	encoded, err := codec.Marshal(batch)
	if err != nil {
		return nil, err
	}
	return codec.Deflate(encoded, flate.BestSpeed), nil
}

// Unpack decodes what Pack encoded. It fails with fault.Corrupt, fault.TooLarge or fault.BadPeer.
func Unpack(payload []byte) (chain.Batch, error) {
	var batch chain.Batch
	encoded, err := codec.Inflate(payload, maxBatchBytes)
	if err != nil {
		return batch, err
	}
	return batch, codec.Unmarshal(encoded, &batch)
}

// Run sends the buffered entries at every interval until ctx ends. Then it sends the remaining entries, for at most
// sendTimeout.
func (s *Shipper) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			final, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendTimeout)
			defer cancel()
			s.shipBacklog(final)
			return nil
		case <-ticker.C:
			s.shipBacklog(ctx)
		}
	}
}

// shipBacklog sends batches until the buffer is empty or no entry of a batch is acknowledged by a majority.
func (s *Shipper) shipBacklog(ctx context.Context) {
	for ctx.Err() == nil {
		batch := s.writer.Batch(maxBatchEntries)
		if len(batch.Entries) == 0 || !s.shipBatch(ctx, batch) {
			return
		}
	}
}

// shipBatch sends one batch to the smallest majority of the archives, always the same ones, and to the other archives only if
// one of these hasn't synced the whole batch. It acknowledges the entries that a majority has synced and reports whether these
// include the batch's first entry. An archive that wasn't sent a batch lacks its entries; archive.Merge adds them from the
// copies of other archives.
func (s *Shipper) shipBatch(ctx context.Context, batch chain.Batch) bool {
	payload, err := Pack(batch)
	if err != nil {
		klog.Errorf("shipper: cannot encode a batch: %v", err)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	last := batch.Entries[len(batch.Entries)-1].Sequence
	needed := len(s.archives)/2 + 1
	synced := s.sendAll(ctx, s.archives[:needed], payload)
	if slices.Min(synced) < last {
		synced = append(synced, s.sendAll(ctx, s.archives[needed:], payload)...)
	}
	slices.Sort(synced)
	through := synced[len(synced)-needed]
	s.writer.Acknowledge(through)
	return through >= batch.Entries[0].Sequence
}

// sendAll sends a batch to several archives in parallel and returns the last sequence number that each has synced, 0 for an
// archive that failed.
func (s *Shipper) sendAll(ctx context.Context, archives []unit.HostName, payload []byte) []uint64 {
	synced := make([]uint64, len(archives))
	var group sync.WaitGroup
	for i, archive := range archives {
		group.Go(func() { synced[i] = s.sendTo(ctx, archive, payload) })
	}
	group.Wait()
	return synced
}

func (s *Shipper) sendTo(ctx context.Context, archive unit.HostName, payload []byte) uint64 {
	answer, err := s.send(ctx, archive, payload)
	if err != nil {
		klog.V(1).Infof("shipper: archive %s did not store a batch: %v", archive, err)
		return 0
	}
	var receipt Receipt
	if err := codec.Unmarshal(answer, &receipt); err != nil {
		klog.Warningf("shipper: cannot decode the receipt of archive %s: %v", archive, err)
		return 0
	}
	return receipt.Through
}
