package dispatcher

import (
	"cmp"
	"context"
	"fmt"
	"net/http"

	"gentianbarrow.example/internal/validator"
)

// HealthPath is the default path of a target's health check.
const HealthPath = "/healthz"

// UnhealthyError reports a health check that was answered with a status other than 2xx.
type UnhealthyError struct{ Status int }

func (e *UnhealthyError) Error() string {
	return fmt.Sprintf("health check failed with status %d", e.Status)
}

// healthClient makes health checks. It bounds the head of an answer as requests do.
var healthClient = &http.Client{Transport: &validator.Transport{Base: &http.Transport{MaxResponseHeaderBytes: maxHeadBytes}}}

// CheckHealth runs a health check of the target at the address over a new
// connection. An empty path means HealthPath.
func CheckHealth(ctx context.Context, address, path string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+cmp.Or(path, HealthPath), nil)
	if err != nil {
		return err
	}
	req.Close = true
	resp, err := healthClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close() //nolint:errcheck // the body is not used
	if resp.StatusCode/100 != 2 {
		return &UnhealthyError{Status: resp.StatusCode}
	}
	return nil
}
