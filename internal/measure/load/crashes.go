package load

import (
	"context"
	"net/http"
)

// Crashes returns how often the given emulated engines have crashed. It fails with fault.Unreachable or fault.BrokenAnswer.
func Crashes(ctx context.Context, engines []string) (int, error) {
	total := 0
	for _, address := range engines {
		var counters struct {
			Crashes int `json:"crashes"`
		}
		if err := callEmulator(ctx, http.MethodGet, address, "counters", nil, &counters); err != nil {
			return 0, err
		}
		total += counters.Crashes
	}
	return total, nil
}
