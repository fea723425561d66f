package hub

import (
	"bytes"
	"context"
	"time"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/control/decisions"
	"github.com/citronglade/citronglade/internal/network/kind"
)

const (
	// maxTableReads bounds the reads of the table that run at the same time, since each takes several times the memory of the table.
	// tableReadTimeout is within the time that operators wait for it.
	maxTableReads, tableReadTimeout = 4, 900 * time.Millisecond
)

// CurrentTable returns the newest accepted table, which must not be changed. The read is linearizable: it includes every table accepted before the
// call.
func (h *Hub) CurrentTable(ctx context.Context) (decisions.AcceptedTable, error) {
	page, err := h.tableReader.Get(ctx)
	if err != nil && ctx.Err() != nil {
		err = fault.NoQuorum.Wrap(err, "the table couldn't be read in time")
	}
	return page, err
}

// readTable reads the newest accepted table from the leader. It returns the memory of this host's own copy where that is the same table, so that
// answers which are sent slowly keep no copies.
func (h *Hub) readTable(ctx context.Context) (decisions.AcceptedTable, error) {
	var page decisions.AcceptedTable
	answer, err := h.leaderCaller.Call(ctx, BookGroup, kind.BookRead, nil)
	if err != nil {
		return page, err
	}
	if err := codec.Unmarshal(answer, &page); err != nil {
		return page, err
	}
	h.mu.Lock()
	own := h.tablePage
	h.mu.Unlock()
	if page.Version == own.Version && bytes.Equal(page.Document, own.Document) && bytes.Equal(page.Table, own.Table) {
		return own, nil
	}
	return page, nil
}
