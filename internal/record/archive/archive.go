// Package archive stores the record entries of entry hosts on the disk of a control host.
package archive

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/record/chain"
)

const (
	hostPrefix = "host-"
	// maxHostBytes bounds a host's name. Escaping makes it at most three times as long, and a file name has at most 255 bytes.
	maxHostBytes = 80
)

var (
	// Fork is the error for a batch that contradicts stored entries.
	Fork = fault.Corrupt.NewSubtype("forked-chain")
	// Gap is the error for a batch before which entries are missing that no majority of the archives has acknowledged, and
	// for an old entry that the archive doesn't have.
	Gap = fault.BadInput.NewSubtype("missing-entries")
)

// Options sets the limits of an archive. MaxBytes and MaxAge are enforced by Prune; 0 means no limit.
type Options struct {
	SegmentBytes int64
	MaxBytes     int64
	MaxAge       time.Duration
	writeAt      func(file *os.File, data []byte, offset int64) error
	truncate     func(file *os.File, size int64) error
	sync         func(*os.File) error
	syncFolder   func(folder string) error
}

// Archive is safe for concurrent use. Its folder has a folder for each host, which has a folder for each incarnation:
//
//	host-<name>/<incarnation>/<first sequence number>.entries
type Archive struct {
	folder  string
	options Options

	mu           sync.Mutex
	streams      map[streamID]*stream
	newestStored map[unit.HostName]unit.Incarnation // newest incarnation that stored a batch since the archive was opened
	fatalErr     error
}

type streamID struct {
	host        unit.HostName
	incarnation unit.Incarnation
}

// DefaultOptions returns limits of 16 MiB for a segment, 64 GiB for the archive and 400 days for the age of segments.
func DefaultOptions() Options {
	return Options{SegmentBytes: 16 << 20, MaxBytes: 64 << 30, MaxAge: 400 * 24 * time.Hour}
}

// Open opens or creates an archive in a folder with DefaultOptions. Segments are read when they are first needed.
func Open(folder string) (*Archive, error) {
	return OpenWith(folder, DefaultOptions())
}

// OpenWith opens or creates an archive. It fails with fault.DiskFailed or fault.Corrupt.
func OpenWith(folder string, options Options) (*Archive, error) {
	if options.sync == nil {
		options.sync = (*os.File).Sync
	}
	if options.truncate == nil {
		options.truncate = (*os.File).Truncate
	}
	if options.syncFolder == nil {
		options.syncFolder = syncFolder
	}
	if options.writeAt == nil {
		options.writeAt = func(file *os.File, data []byte, offset int64) error {
			_, err := file.WriteAt(data, offset)
			return err
		}
	}
	a := &Archive{
		folder: folder, options: options, streams: map[streamID]*stream{}, newestStored: map[unit.HostName]unit.Incarnation{},
	}
	if err := a.options.createFolder(folder); err != nil {
		return nil, err
	}
	hosts, err := os.ReadDir(folder)
	if err != nil {
		return nil, fault.DiskFailed.Wrap(err, "cannot list the archive")
	}
	for _, folder := range hosts {
		name, ok := strings.CutPrefix(folder.Name(), hostPrefix)
		if !ok {
			continue
		}
		host, err := url.PathUnescape(name)
		if err != nil {
			return nil, fault.Corrupt.Wrap(err, "%s isn't the name of a host's folder", folder.Name())
		}
		if err := a.openHost(unit.HostName(host)); err != nil {
			return nil, err
		}
	}
	return a, nil
}

// Store makes a batch durable and returns the last stored sequence number of its host's incarnation. A batch that was
// stored before, in whole or in part, is accepted again. Store fails with chain.Broken for an edited entry, Fork, Gap,
// fault.DiskFull and fault.DiskFailed. After fault.DiskFailed all later calls fail, because the contents of the files are
// unknown until the archive is opened again.
func (a *Archive) Store(b chain.Batch) (through uint64, err error) {
	if b.Host == "" || len(b.Host) > maxHostBytes {
		return 0, fault.BadInput.New("the host's name has %d bytes, want 1 to %d", len(b.Host), maxHostBytes)
	}
	if err := a.fatalError(); err != nil {
		return 0, err
	}
	id := streamID{b.Host, b.Incarnation}
	through, err = a.stream(id).store(b)
	a.releaseOlderIncarnations(id)
	if errorx.IsOfType(err, fault.DiskFailed) {
		a.mu.Lock()
		a.fatalErr = err
		a.mu.Unlock()
	}
	return through, err
}

// Read returns the entries of all incarnations of a host, in order, whose sequence number is at least from.
func (a *Archive) Read(host unit.HostName, from uint64) ([]chain.Entry, error) {
	var entries []chain.Entry
	err := a.Each(host, from, func(e chain.Entry) error {
		entries = append(entries, e)
		return nil
	})
	return entries, err
}

// Each calls visit for the entries that Read would return. It keeps only one segment in memory at a time.
func (a *Archive) Each(host unit.HostName, from uint64, visit func(chain.Entry) error) error {
	for _, s := range a.streamsOf(host) {
		if err := s.each(from, visit); err != nil {
			return err
		}
	}
	return nil
}

// Hosts returns the sorted names of all hosts that the archive has entries of.
func (a *Archive) Hosts() []unit.HostName {
	a.mu.Lock()
	defer a.mu.Unlock()
	var hosts []unit.HostName
	for id := range a.streams {
		hosts = append(hosts, id.host)
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

// Export writes a host's entries as JSON lines with kebab-case names, in order.
func (a *Archive) Export(to io.Writer, host unit.HostName) error {
	encoder := json.NewEncoder(to)
	return a.Each(host, 0, func(e chain.Entry) error {
		if err := encoder.Encode(e); err != nil {
			return fault.DiskFailed.Wrap(err, "cannot write the export")
		}
		return nil
	})
}

// Import reads entries of any hosts that Export wrote. It fails with fault.BadInput for other text, also for entries that
// have fields of a newer version. It doesn't check hashes; audit.Verify does.
func Import(from io.Reader) ([]chain.Entry, error) {
	decoder := json.NewDecoder(from)
	decoder.DisallowUnknownFields()
	var entries []chain.Entry
	for {
		var entry chain.Entry
		err := decoder.Decode(&entry)
		if errors.Is(err, io.EOF) {
			return entries, nil
		}
		if err != nil {
			return nil, fault.BadInput.Wrap(err, "cannot read the entry after the first %d", len(entries))
		}
		entries = append(entries, entry)
	}
}

// Close closes all files.
func (a *Archive) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fatalErr = fault.Stopping.New("the archive is closed")
	for _, s := range a.streams {
		s.mu.Lock()
		if !s.writing {
			s.closeFile()
		}
		s.mu.Unlock()
	}
}

func (a *Archive) fatalError() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fatalErr
}

func (a *Archive) openHost(host unit.HostName) error {
	incarnations, err := os.ReadDir(a.hostFolder(host))
	if err != nil {
		return fault.DiskFailed.Wrap(err, "cannot list the incarnations of %s", host)
	}
	for _, folder := range incarnations {
		incarnation, err := strconv.ParseUint(folder.Name(), 10, 64)
		if err != nil {
			return fault.Corrupt.Wrap(err, "%s isn't the name of an incarnation's folder of host %s", folder.Name(), host)
		}
		a.stream(streamID{host, unit.Incarnation(incarnation)})
	}
	return nil
}

func (a *Archive) hostFolder(host unit.HostName) string {
	return filepath.Join(a.folder, hostPrefix+url.PathEscape(string(host)))
}

func (a *Archive) stream(id streamID) *stream {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.streams[id]
	if s == nil {
		s = &stream{
			folder:  filepath.Join(a.hostFolder(id.host), fmt.Sprintf("%020d", id.incarnation)),
			options: &a.options,
		}
		a.streams[id] = s
	}
	return s
}

// releaseOlderIncarnations frees the memory of a host's older incarnations when a newer one stores its first batch.
func (a *Archive) releaseOlderIncarnations(id streamID) {
	a.mu.Lock()
	if a.newestStored[id.host] >= id.incarnation {
		a.mu.Unlock()
		return
	}
	a.newestStored[id.host] = id.incarnation
	var older []*stream
	for other, s := range a.streams {
		if other.host == id.host && other.incarnation < id.incarnation {
			older = append(older, s)
		}
	}
	a.mu.Unlock()
	for _, s := range older {
		s.releaseMemory()
	}
}

// streamsOf returns the streams of a host, sorted by incarnation.
func (a *Archive) streamsOf(host unit.HostName) []*stream {
	a.mu.Lock()
	defer a.mu.Unlock()
	var ids []streamID
	for id := range a.streams {
		if id.host == host {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(x, y streamID) int { return cmp.Compare(x.incarnation, y.incarnation) })
	streams := make([]*stream, len(ids))
	for i, id := range ids {
		streams[i] = a.streams[id]
	}
	return streams
}

func (s *stream) each(from uint64, visit func(chain.Entry) error) error {
	s.mu.Lock()
	if err := s.load(); err != nil {
		s.mu.Unlock()
		return err
	}
	segments := slices.Clone(s.segments)
	s.mu.Unlock()
	for i, first := range segments {
		if i+1 < len(segments) && segments[i+1] <= from {
			continue
		}
		s.mu.Lock()
		entries, err := s.read(slices.Index(s.segments, first))
		s.mu.Unlock()
		if err != nil {
			return err
		}
		for _, entry := range entries {
			if entry.Sequence < from {
				continue
			}
			if err := visit(entry); err != nil {
				return err
			}
		}
	}
	return nil
}

// createFolder creates a folder with its missing parents, and syncs the parent of each folder that it creates.
func (o *Options) createFolder(folder string) error {
	if _, err := os.Stat(folder); err == nil {
		return nil
	}
	parent := filepath.Dir(folder)
	if parent != folder {
		if err := o.createFolder(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(folder, 0o700); err != nil && !os.IsExist(err) {
		return wrapDiskError(err, "cannot create a folder")
	}
	if err := o.syncFolder(parent); err != nil {
		// The next call must not take the folder for a durable one.
		return wrapDiskError(errors.Join(err, os.Remove(folder)), "cannot sync a folder")
	}
	return nil
}

// wrapDiskError returns fault.DiskFull for a full disk, after which the synced records are unchanged, and fault.DiskFailed for all
// other errors, after which the archive refuses further writes.
func wrapDiskError(err error, message string) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return fault.DiskFull.Wrap(err, "%s", message)
	}
	return fault.DiskFailed.Wrap(err, "%s", message)
}

func syncFolder(folder string) error {
	file, err := os.Open(folder) //nolint:gosec // a folder below the data folder
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}

// settleSegment cuts a segment off after its last intact record and syncs it: a process that ended may have written records that it didn't
// sync any more.
func (o *Options) settleSegment(path string, size int64) error {
	file, err := os.OpenFile(path, os.O_RDWR, 0) //nolint:gosec // a segment below the data folder
	if err != nil {
		return wrapDiskError(err, "cannot open a segment")
	}
	defer func() { _ = file.Close() }()
	return o.cut(file, size)
}

// cut removes what follows the intact records of a segment, if there is anything, and syncs it.
func (o *Options) cut(file *os.File, size int64) error {
	info, err := file.Stat()
	if err == nil && info.Size() > size {
		err = o.truncate(file, size)
	}
	if err != nil {
		return wrapDiskError(err, "cannot cut off a segment after its last intact record")
	}
	if err := o.sync(file); err != nil {
		return wrapDiskError(err, "cannot sync a segment")
	}
	return nil
}
