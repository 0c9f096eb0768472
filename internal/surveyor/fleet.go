package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"gentianbarrow.example/internal/elector"
	"gentianbarrow.example/internal/inspector"
	"gentianbarrow.example/internal/validator"
	"gentianbarrow.example/pkg/storer"
	"gentianbarrow.example/pkg/ticketer"
)

const (
	callTimeout    = 5 * time.Second
	maxAnswerBytes = 1 << 20
	nodeFields     = 3
)

// node is one process of the fleet.
type node struct {
	host  string
	pid   int
	admin string
}

// fleet is what is measured.
type fleet struct {
	nodes       []node
	platformURL string
	dataCentre  string
	platform    storer.Client
	tickets     *ticketer.Ticketer
	http        *http.Client
}

// NodeLineError tells of a line that names no node.
type NodeLineError struct{ Line string }

func (e *NodeLineError) Error() string {
	return fmt.Sprintf("%q is not HOST PID ADMIN-ADDRESS", e.Line)
}

// StatusError tells of an answer that is not 200.
type StatusError struct {
	URL    string
	Status int
}

func (e *StatusError) Error() string { return fmt.Sprintf("%s answered %d", e.URL, e.Status) }

func readFleet(f flags) (*fleet, error) {
	data, err := os.ReadFile(f.nodes)
	if err != nil {
		return nil, err
	}
	client := storer.NewHTTPClient(f.platform)
	out := &fleet{
		platformURL: f.platform, dataCentre: f.dataCentre, platform: client, tickets: ticketer.New(client),
		http: &http.Client{Timeout: callTimeout, Transport: &validator.Transport{Base: http.DefaultTransport}},
	}
	for line := range strings.Lines(string(data)) {
		n, err := parseNode(line)
		if err != nil {
			return nil, err
		}
		out.nodes = append(out.nodes, n)
	}
	return out, nil
}

func parseNode(line string) (node, error) {
	fields := strings.Fields(line)
	if len(fields) != nodeFields {
		return node{}, &NodeLineError{Line: line}
	}
	pid, err := strconv.Atoi(fields[1])
	if err != nil {
		return node{}, &NodeLineError{Line: line}
	}
	return node{host: fields[0], pid: pid, admin: fields[2]}, nil
}

func (f *fleet) get(ctx context.Context, url string) ([]byte, int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, 0, err
	}
	resp, err := f.http.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close() //nolint:errcheck // the body is read to its end
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	return data, resp.StatusCode, err
}

func (f *fleet) counts(ctx context.Context) (storer.Counts, error) {
	var c storer.Counts
	url := f.platformURL + "/admin/counts"
	data, status, err := f.get(ctx, url)
	if err != nil {
		return c, err
	}
	if status != http.StatusOK {
		return c, &StatusError{URL: url, Status: status}
	}
	return c, json.Unmarshal(data, &c)
}

// status returns what a node says of itself; false when it does not answer.
func (f *fleet) status(ctx context.Context, n node) (inspector.Status, bool) {
	var s inspector.Status
	data, _, err := f.get(ctx, "http://"+n.admin+"/healthz")
	return s, err == nil && json.Unmarshal(data, &s) == nil
}

// relays returns the hosts that hold relay slots.
func (f *fleet) relays(ctx context.Context) (map[string]bool, error) {
	records, err := elector.ReadHolders(ctx, f.platform, f.dataCentre)
	if err != nil {
		return nil, err
	}
	out := map[string]bool{}
	for _, r := range records {
		out[r.Host] = true
	}
	return out, nil
}
