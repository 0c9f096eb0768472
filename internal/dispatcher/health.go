package dispatcher

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
)

// HealthPath is where the contract of NewHTTP has a target tell its health.
const HealthPath = "/healthz"

// UnhealthyError tells that a target answered its health check with a status that is no success.
type UnhealthyError struct{ Status int }

func (e *UnhealthyError) Error() string { return fmt.Sprintf("health check answered %d", e.Status) }

// CheckHealth asks the target at the address for its health, on a connection of
// its own. An empty path means HealthPath. It returns the header of the answer
// that names the target's process, if idHeader names one.
func CheckHealth(idHeader string) func(ctx context.Context, address, path string) (string, error) {
	return func(ctx context.Context, address, path string) (string, error) {
		url := "http://" + address + cmp.Or(path, HealthPath)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return "", err
		}
		req.Close = true
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return "", err
		}
		defer resp.Body.Close() //nolint:errcheck // the body is not used
		id := ""
		if idHeader != "" {
			id = resp.Header.Get(idHeader)
		}
		if resp.StatusCode/100 != 2 {
			return id, &UnhealthyError{Status: resp.StatusCode}
		}
		return id, nil
	}
}
