package client

import (
	"context"
	"net/url"

	"github.com/joomcode/errorx"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/record/archive"
	"github.com/citronglade/citronglade/internal/record/chain"
)

// Record reads the record from the archives of all control hosts that answer and merges their copies. If id isn't empty, it
// reads only the entries of that request. It fails with fault.Unreachable if no archive answers.
func (c *Client) Record(ctx context.Context, id unit.RequestID) (archive.Merged, error) {
	var copies [][]chain.Entry
	var lastErr error
	answered := false
	for _, host := range c.hosts {
		entries, err := c.recordFromHost(ctx, host, id)
		switch {
		case err == nil:
			answered = true
			copies = append(copies, entries)
		case !errorx.IsOfType(err, fault.BadInput):
			lastErr = err
		}
	}
	if !answered {
		return archive.Merged{}, fault.Unreachable.Wrap(lastErr, "no control host returned its record")
	}
	return archive.Merge(copies...), nil
}

func (c *Client) recordFromHost(ctx context.Context, host string, id unit.RequestID) ([]chain.Entry, error) {
	var writers []unit.HostName
	if err := c.GetFrom(ctx, host, "/record", &writers); err != nil {
		return nil, err
	}
	var all []chain.Entry
	for _, writer := range writers {
		var entries []chain.Entry
		path := "/record/" + url.PathEscape(string(writer)) + "?request=" + url.QueryEscape(string(id))
		if err := c.GetFrom(ctx, host, path, &entries); err != nil {
			return nil, err
		}
		all = append(all, entries...)
	}
	return all, nil
}
