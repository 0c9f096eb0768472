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
// its own. An empty path means HealthPath.
func CheckHealth(ctx context.Context, address, path string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+cmp.Or(path, HealthPath), nil)
	if err != nil {
		return err
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close() //nolint:errcheck // the body is not used
	if resp.StatusCode/100 != 2 {
		return &UnhealthyError{Status: resp.StatusCode}
	}
	return nil
}
