package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// SetRequestLimit makes emulated engines name a limit in requests/s, 0 for none. It fails with fault.Unreachable or fault.BrokenAnswer.
func SetRequestLimit(ctx context.Context, engines []string, perSecond float64) error {
	body, err := json.Marshal(map[string]float64{"request-limit": perSecond})
	if err != nil {
		return fault.Internal.Wrap(err, "cannot encode the settings")
	}
	for _, address := range engines {
		if err := callEmulator(ctx, http.MethodPost, address, "settings", body, nil); err != nil {
			return err
		}
	}
	return nil
}

// RequestsUnderLimit returns the most requests in 4 s that each of the emulated engines got since its limit was set. It fails as
// SetRequestLimit does.
func RequestsUnderLimit(ctx context.Context, engines []string) ([]LimitedEngine, error) {
	var limited []LimitedEngine
	for _, address := range engines {
		e := LimitedEngine{Address: address}
		if err := callEmulator(ctx, http.MethodGet, address, "counters", nil, &e); err != nil {
			return nil, err
		}
		limited = append(limited, e)
	}
	return limited, nil
}

// callEmulator calls the emulator interface of an emulated engine and decodes the answer, unless to is nil.
func callEmulator(ctx context.Context, method, address, path string, body []byte, to any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/emulator/v1/"+path, bytes.NewReader(body))
	if err != nil {
		return fault.BadSetting.Wrap(err, "invalid address %q", address)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fault.Unreachable.Wrap(err, "cannot reach the emulated engine at %s", address)
	}
	defer func() { _ = response.Body.Close() }() // the body has been read or is of no use
	if response.StatusCode != http.StatusOK {
		return fault.BrokenAnswer.New("%s answers with status %d", address, response.StatusCode)
	}
	if to == nil {
		return nil
	}
	if err := json.NewDecoder(response.Body).Decode(to); err != nil {
		return fault.BrokenAnswer.Wrap(err, "cannot read the answer of %s", address)
	}
	return nil
}
