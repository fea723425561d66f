package archive

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/joomcode/errorx"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/record/chain"
)

const (
	segmentSuffix = ".entries"
	// recentEntries is the number of latest entries whose hashes are kept in memory, up to twice as many between two trims.
	// They serve to recognise the entries that an entry host sends again because they weren't acknowledged.
	recentEntries = 4096
	// maxCommitBatches bounds the batches of one record: three batches, each at most a frame of 16 MiB, fit into
	// maxRecordBytes.
	maxCommitBatches = 3
)

// stream holds the entries of one host's incarnation, in a folder of segments that are named after their first sequence
// number.
type stream struct {
	folder   string
	options  *Options
	mu       sync.Mutex
	loaded   bool
	segments []uint64
	size     int64 // synced bytes of the last segment
	file     *os.File
	torn     bool         // file may have bytes behind size, of a record that a full disk didn't take
	end      chain.Link   // last synced entry
	recent   []chain.Link // latest synced entries, in order
	waiting  []*pendingStore
	writing  bool
	fatalErr error
}

// pendingStore is a Store call that waits for a group commit.
type pendingStore struct {
	batch   chain.Batch
	through uint64
	err     error
	done    chan struct{}
}

// store queues the batch and waits until it is committed. If no call is committing yet, this call commits its own batch and
// those that other calls queue in the meantime.
func (s *stream) store(b chain.Batch) (through uint64, err error) {
	r := &pendingStore{batch: b, done: make(chan struct{})}
	s.mu.Lock()
	s.waiting = append(s.waiting, r)
	if s.writing {
		s.mu.Unlock()
		<-r.done
		return r.through, r.err
	}
	s.writing = true
	for len(s.waiting) > 0 {
		s.commit()
	}
	s.writing = false
	s.mu.Unlock()
	return r.through, r.err
}

// commit makes waiting batches durable with one write and one sync. The caller holds s.mu, which commit releases during
// the disk operations.
func (s *stream) commit() {
	group := s.waiting[:min(maxCommitBatches, len(s.waiting))]
	s.waiting = s.waiting[len(group):]
	err := s.load()
	end := s.end
	var fresh []chain.Entry
	if err == nil {
		fresh, end = s.acceptBatches(group)
		s.mu.Unlock()
		err = s.write(fresh)
		s.mu.Lock()
	}
	if err == nil {
		s.end = end
		s.recent = append(s.recent, links(fresh)...)
		if len(s.recent) > 2*recentEntries {
			s.recent = slices.Clone(s.recent[len(s.recent)-recentEntries:])
		}
	} else if errorx.IsOfType(err, fault.DiskFailed) {
		s.fatalErr = err
	}
	for _, r := range group {
		if err != nil {
			r.through, r.err = s.end.Sequence, err
		}
		close(r.done)
	}
}

// acceptBatches checks the batches in order and returns the new entries of the valid ones, and the end of the chain after
// them. It sets the result of each batch.
func (s *stream) acceptBatches(group []*pendingStore) (fresh []chain.Entry, end chain.Link) {
	end = s.end
	for _, r := range group {
		recent := s.recent
		if len(fresh) > 0 {
			recent = append(slices.Clone(recent), links(fresh)...)
		}
		var accepted []chain.Entry
		accepted, r.err = s.acceptBatch(end, recent, r.batch)
		if len(accepted) > 0 {
			fresh = append(fresh, accepted...)
			end = linkOf(accepted[len(accepted)-1])
		}
		r.through = end.Sequence
	}
	return fresh, end
}

// acceptBatch checks a batch against the chain and returns its entries that aren't stored yet.
func (s *stream) acceptBatch(end chain.Link, recent []chain.Link, b chain.Batch) ([]chain.Entry, error) {
	if len(b.Entries) == 0 {
		return nil, nil
	}
	first := b.Entries[0]
	if _, err := chain.VerifyLink(chain.Link{Sequence: first.Sequence - 1, Hash: first.Previous}, b); err != nil {
		return nil, err
	}
	if first.Sequence > end.Sequence+1 && first.Sequence > b.AcknowledgedThrough+1 {
		return nil, Gap.New("entry %d of %s follows the stored entry %d, and no majority has acknowledged the entries between them",
			first.Sequence, b.Host, end.Sequence)
	}
	for i, entry := range b.Entries {
		switch {
		case entry.Sequence <= end.Sequence:
			if err := s.checkStored(recent, entry); err != nil {
				return nil, err
			}
		case entry.Sequence == end.Sequence+1 && entry.Previous != end.Hash:
			return nil, Fork.New("entry %d of %s doesn't follow the stored entry %d",
				entry.Sequence, entry.Host, end.Sequence)
		default:
			return b.Entries[i:], nil
		}
	}
	return nil, nil
}

// checkStored fails with Fork if another entry is stored with the same sequence number, and with Gap if none is.
func (s *stream) checkStored(recent []chain.Link, entry chain.Entry) error {
	links := recent
	if len(recent) == 0 || entry.Sequence < recent[0].Sequence {
		entries, err := s.read(s.segmentOf(entry.Sequence))
		if err != nil {
			return err
		}
		links = nil
		for _, stored := range entries {
			links = append(links, linkOf(stored))
		}
	}
	at, found := slices.BinarySearchFunc(links, entry.Sequence, func(l chain.Link, sequence uint64) int {
		return int(int64(l.Sequence - sequence))
	})
	if !found {
		return Gap.New("entry %d of %s was never stored or was removed by retention", entry.Sequence, entry.Host)
	}
	if links[at].Hash != entry.Hash {
		return Fork.New("entry %d of %s differs from the stored one", entry.Sequence, entry.Host)
	}
	return nil
}

// load lists the segments and reads the last one, from which it cuts off a torn record. The caller holds s.mu. After a
// successful call it does nothing until releaseMemory is called.
func (s *stream) load() error {
	if s.loaded || s.fatalErr != nil {
		return s.fatalErr
	}
	if err := s.options.createFolder(s.folder); err != nil {
		return err
	}
	segments, err := listSegments(s.folder)
	if err != nil {
		return err
	}
	s.segments = segments
	for len(s.segments) > 0 {
		last := s.segments[len(s.segments)-1]
		data, err := os.ReadFile(s.path(last))
		if err != nil {
			return fault.DiskFailed.Wrap(err, "cannot read a segment")
		}
		entries, intact, err := decodeSegment(data)
		if err != nil {
			return fault.Corrupt.Wrap(err, "segment %s", s.path(last))
		}
		if err := s.options.settleSegment(s.path(last), int64(intact)); err != nil {
			return err
		}
		s.size = int64(intact)
		if len(entries) > 0 {
			s.recent = links(entries[max(0, len(entries)-recentEntries):])
			s.end = linkOf(entries[len(entries)-1])
			break
		}
		// The host stopped before the first record of a new segment was synced.
		if err := os.Remove(s.path(last)); err != nil {
			return wrapDiskError(err, "cannot remove an empty segment")
		}
		s.segments = s.segments[:len(s.segments)-1]
	}
	s.loaded = true
	return nil
}

// write appends one record and syncs it. Only the committing call runs it, and other calls don't change the fields that it
// uses in the meantime, except for the list of segments, which is accessed with s.mu held.
func (s *stream) write(entries []chain.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	record, err := encodeRecord(entries)
	if err != nil {
		return err
	}
	if err := s.repair(); err != nil {
		return err
	}
	if err := s.openSegmentFor(entries[0].Sequence); err != nil {
		return err
	}
	if err := s.options.writeAt(s.file, record, s.size); err != nil {
		s.torn = true
		if failure := s.repair(); errorx.IsOfType(failure, fault.DiskFailed) {
			return failure
		}
		return wrapDiskError(err, "cannot write a record")
	}
	if err := s.options.sync(s.file); err != nil {
		s.torn = true
		return wrapDiskError(err, "cannot sync a record")
	}
	s.mu.Lock()
	s.size += int64(len(record))
	s.mu.Unlock()
	return nil
}

// repair removes what a record that a full disk didn't take may have left behind the last synced one. Until that succeeds nothing is written.
func (s *stream) repair() error {
	if !s.torn {
		return nil
	}
	if err := s.options.cut(s.file, s.size); err != nil {
		return err
	}
	s.torn = false
	return nil
}

// openSegmentFor opens the last segment. If there is none or it is full, it creates one that starts with the sequence number.
func (s *stream) openSegmentFor(sequence uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	create := len(s.segments) == 0 || s.size >= s.options.SegmentBytes
	if s.file != nil && !create {
		return nil
	}
	if !create {
		sequence = s.segments[len(s.segments)-1]
	}
	file, err := os.OpenFile(s.path(sequence), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return wrapDiskError(err, "cannot open a segment")
	}
	if create {
		if err := s.options.syncFolder(s.folder); err != nil {
			_ = file.Close()
			return wrapDiskError(err, "cannot sync the folder of a new segment")
		}
		s.segments = append(s.segments, sequence)
		s.size = 0
	}
	s.closeFile()
	s.file = file
	return nil
}

// read returns the synced entries of the segment at a position in s.segments, none for a negative position.
func (s *stream) read(segment int) ([]chain.Entry, error) {
	if segment < 0 {
		return nil, nil
	}
	data, err := os.ReadFile(s.path(s.segments[segment]))
	if err != nil {
		return nil, fault.DiskFailed.Wrap(err, "cannot read a segment")
	}
	if segment == len(s.segments)-1 {
		data = data[:min(int64(len(data)), s.size)]
	}
	entries, intact, err := decodeSegment(data)
	if err == nil && intact < len(data) {
		err = fault.Corrupt.New("the record at the end is damaged")
	}
	if err != nil {
		return nil, fault.Corrupt.Wrap(err, "segment %s", s.path(s.segments[segment]))
	}
	return entries, nil
}

// segmentOf returns the position of the segment whose range includes the sequence number, -1 if the number is before the
// first segment.
func (s *stream) segmentOf(sequence uint64) int {
	at, found := slices.BinarySearch(s.segments, sequence)
	if found {
		return at
	}
	return at - 1
}

func (s *stream) path(first uint64) string {
	return filepath.Join(s.folder, fmt.Sprintf("%020d%s", first, segmentSuffix))
}

// releaseMemory closes the file and frees the recent entries of an incarnation that is no longer written to.
func (s *stream) releaseMemory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.writing && !s.torn {
		s.closeFile()
		s.loaded, s.recent = false, nil
	}
}

func (s *stream) closeFile() {
	if s.file != nil {
		// All intact records are synced, so an error on closing can't lose data.
		_ = s.file.Close()
		s.file = nil
	}
}

func listSegments(folder string) ([]uint64, error) {
	files, err := os.ReadDir(folder)
	if err != nil {
		return nil, fault.DiskFailed.Wrap(err, "cannot list segments")
	}
	var segments []uint64
	for _, file := range files {
		if number, ok := strings.CutSuffix(file.Name(), segmentSuffix); ok {
			first, err := strconv.ParseUint(number, 10, 64)
			if err != nil {
				return nil, fault.Corrupt.Wrap(err, "%s isn't the name of a segment", file.Name())
			}
			segments = append(segments, first)
		}
	}
	slices.Sort(segments)
	return segments, nil
}

func links(entries []chain.Entry) []chain.Link {
	result := make([]chain.Link, len(entries))
	for i, entry := range entries {
		result[i] = linkOf(entry)
	}
	return result
}

func linkOf(entry chain.Entry) chain.Link {
	return chain.Link{Sequence: entry.Sequence, Hash: entry.Hash}
}
