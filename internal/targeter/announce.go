package targeter

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

const (
	// AnnounceEvery is the time between two announcements.
	AnnounceEvery   = 1 * time.Second
	announceTimeout = 800 * time.Millisecond
)

// Announcement is what a target tells the node on its host.
type Announcement struct {
	Service string `json:"service"`
	// Address of the target, as ip:port.
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Phase       string `json:"phase"`
}

// Announce tells the node every AnnounceEvery until ctx ends. A node that does
// not answer is asked again.
func (t *Targeter) Announce(ctx context.Context, nodeAddress, ownAddress string) error {
	client := &http.Client{Timeout: announceTimeout}
	ticker := time.NewTicker(AnnounceEvery)
	defer ticker.Stop()
	for {
		t.announceOnce(ctx, client, nodeAddress, ownAddress)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (t *Targeter) announceOnce(ctx context.Context, client *http.Client, nodeAddress, ownAddress string) {
	body, err := json.Marshal(Announcement{
		Service: t.cfg.Service, Address: ownAddress, Slots: t.cfg.Slots,
		Connections: t.cfg.Connections, Phase: t.Phase(time.Now()),
	})
	if err != nil {
		return
	}
	url := "http://" + nodeAddress + "/announce"
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
}
