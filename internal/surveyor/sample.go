package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// ticksPerSecond is the unit of processor time in /proc/PID/stat.
	ticksPerSecond = 100
	pageBytes      = 4096
	// Fields of /proc/PID/stat after the name of the program.
	statUser, statSystem, statResident = 11, 12, 21
	// tcpHeaderBytes and udpHeaderBytes include IP's.
	tcpHeaderBytes = 52
	udpHeaderBytes = 28
	readersAtOnce  = 32
)

// sample is what one node has used since its start.
type sample struct {
	at         time.Time
	cpuSeconds float64
	rssBytes   float64
	// linkSent counts control and unclassed bytes; writes is how many segments carried them, at most.
	linkSent, linkReceived, writes, reads                float64
	packetSent, packetReceived, packetsSent, packetsRead float64
}

// sentBytes includes headers. Bare acknowledgements of TCP are not counted.
func (s sample) sentBytes() float64 {
	return s.linkSent + tcpHeaderBytes*s.writes + s.packetSent + udpHeaderBytes*s.packetsSent
}

// receivedBytes includes headers. One read may join several segments.
func (s sample) receivedBytes() float64 {
	return s.linkReceived + tcpHeaderBytes*s.reads + s.packetReceived + udpHeaderBytes*s.packetsRead
}

// samples reads every node, in the order of the fleet.
func (f *fleet) samples(ctx context.Context) ([]sample, error) {
	out := make([]sample, len(f.nodes))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(readersAtOnce)
	for i, n := range f.nodes {
		group.Go(func() error {
			s, err := f.sample(ctx, n)
			out[i] = s
			return err
		})
	}
	return out, group.Wait()
}

func (f *fleet) sample(ctx context.Context, n node) (sample, error) {
	s, err := readProcess(n.pid)
	if err != nil {
		return s, err
	}
	url := "http://" + n.admin + "/metrics"
	data, status, err := f.get(ctx, url)
	if err != nil {
		return s, err
	}
	if status != http.StatusOK {
		return s, &StatusError{URL: url, Status: status}
	}
	s.readMetrics(data)
	return s, nil
}

func readProcess(pid int) (sample, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return sample{}, err
	}
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	return sample{
		at:         time.Now(),
		cpuSeconds: (number(fields[statUser]) + number(fields[statSystem])) / ticksPerSecond,
		rssBytes:   number(fields[statResident]) * pageBytes,
	}, nil
}

func number(text string) float64 {
	n, _ := strconv.ParseFloat(text, 64)
	return n
}

func (s *sample) readMetrics(data []byte) {
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		name, value, found := strings.Cut(lines.Text(), " ")
		if to := s.field(name); found && to != nil {
			*to += number(value)
		}
	}
}

// field returns where a series is added; nil for one that is not control.
func (s *sample) field(series string) *float64 {
	name, labels, _ := strings.Cut(series, "{")
	sent := strings.Contains(labels, `direction="sent"`)
	if strings.Contains(labels, `traffic="short"`) || strings.Contains(labels, `traffic="bulk"`) || strings.Contains(labels, `traffic="requests"`) {
		return nil
	}
	pick := func(a, b *float64) *float64 {
		if sent {
			return a
		}
		return b
	}
	switch name {
	case "gentian_link_bytes_total":
		return pick(&s.linkSent, &s.linkReceived)
	case "gentian_link_transfers_total":
		return pick(&s.writes, &s.reads)
	case "gentian_packet_bytes_total":
		return pick(&s.packetSent, &s.packetReceived)
	case "gentian_packets_total":
		return pick(&s.packetsSent, &s.packetsRead)
	}
	return nil
}
