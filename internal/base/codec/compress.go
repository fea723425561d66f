package codec

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// Deflate compresses data. The level must be one of the package compress/flate.
func Deflate(data []byte, level int) []byte {
	var buffer bytes.Buffer
	// NewWriter fails only for an invalid level, and writes to a bytes.Buffer never fail.
	writer, _ := flate.NewWriter(&buffer, level)
	_, _ = writer.Write(data)
	_ = writer.Close()
	return buffer.Bytes()
}

// Inflate decompresses data. An empty result is nil, so that nil is still nil after Deflate and Inflate. It fails with
// fault.Corrupt if data isn't valid, and with fault.TooLarge if the result has more than limit bytes.
func Inflate(data []byte, limit int) ([]byte, error) {
	result, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), int64(limit)+1))
	if err != nil {
		return nil, fault.Corrupt.Wrap(err, "cannot decompress %d bytes", len(data))
	}
	if len(result) > limit {
		return nil, fault.TooLarge.New("the data decompresses to more than %d bytes", limit)
	}
	if len(result) == 0 {
		return nil, nil
	}
	return result, nil
}
