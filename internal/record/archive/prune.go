package archive

import (
	"cmp"
	"os"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// PruneResult is the number and the total size of the segments that Prune removed.
type PruneResult struct {
	Segments int
	Bytes    int64
}

type segmentInfo struct {
	stream   *stream
	first    uint64
	size     int64
	modified time.Time
}

// Prune removes segments that were last written more than MaxAge before now, and the oldest segments while the archive has
// more than MaxBytes. It keeps the last segment of each host's newest incarnation, because the next entry of the chain must
// follow the last entry there.
func (a *Archive) Prune(now time.Time) (PruneResult, error) {
	var pruned PruneResult
	removable, total, err := a.removableSegments()
	if err != nil {
		return pruned, err
	}
	for _, old := range removable {
		tooOld := a.options.MaxAge > 0 && now.Sub(old.modified) > a.options.MaxAge
		tooMuch := a.options.MaxBytes > 0 && total-pruned.Bytes > a.options.MaxBytes
		if !tooOld && !tooMuch {
			continue
		}
		removed, err := old.stream.removeSegment(old.first)
		if err != nil {
			return pruned, err
		}
		if removed {
			pruned.Segments++
			pruned.Bytes += old.size
		}
	}
	return pruned, nil
}

// removableSegments returns the segments that may be removed, oldest first, and the total size of all segments.
func (a *Archive) removableSegments() (removable []segmentInfo, total int64, err error) {
	for _, host := range a.Hosts() {
		streams := a.streamsOf(host)
		for i, s := range streams {
			segments, err := s.statSegments()
			if err != nil {
				return nil, 0, err
			}
			for _, segment := range segments {
				total += segment.size
			}
			if i == len(streams)-1 && len(segments) > 0 {
				segments = segments[:len(segments)-1]
			}
			removable = append(removable, segments...)
		}
	}
	slices.SortStableFunc(removable, func(x, y segmentInfo) int { return cmp.Compare(x.modified.UnixNano(), y.modified.UnixNano()) })
	return removable, total, nil
}

func (s *stream) statSegments() ([]segmentInfo, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writing {
		return nil, nil
	}
	if err := s.load(); err != nil {
		return nil, err
	}
	var segments []segmentInfo
	for _, first := range s.segments {
		info, err := os.Stat(s.path(first))
		if err != nil {
			return nil, fault.DiskFailed.Wrap(err, "cannot stat a segment")
		}
		segments = append(segments, segmentInfo{stream: s, first: first, size: info.Size(), modified: info.ModTime()})
	}
	return segments, nil
}

func (s *stream) removeSegment(first uint64) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := slices.Index(s.segments, first)
	if s.writing || at < 0 {
		return false, nil
	}
	if at == len(s.segments)-1 {
		s.closeFile()
		s.size, s.torn = 0, false
	}
	if err := os.Remove(s.path(first)); err != nil {
		return false, fault.DiskFailed.Wrap(err, "cannot remove a segment")
	}
	s.segments = slices.Delete(s.segments, at, at+1)
	return true, nil
}
