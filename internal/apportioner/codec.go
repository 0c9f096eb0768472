package apportioner

import (
	"time"

	"google.golang.org/protobuf/proto"

	"gentianbarrow.example/internal/encoder"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/rationer"
	"gentianbarrow.example/internal/wirepb"
)

// maxReportInterval bounds what a node may tell of its interval, and so how long its part counts.
const maxReportInterval = 5 * time.Second

func write(s *linker.Stream, m proto.Message) error {
	if err := s.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return encoder.Write(s, m, maxMessageBytes)
}

func encodeReport(r rationer.Report) *wirepb.LimitReport {
	m := &wirepb.LimitReport{Sequence: r.Sequence, Nodes: uint32(max(r.Nodes, 0)), IntervalMs: uint32(r.Interval.Milliseconds())}
	for _, u := range r.Uses {
		m.Uses = append(m.Uses, &wirepb.FirmUse{Firm: u.Firm, Used: int64(u.Used), Refused: uint64(u.Refused), Limited: u.Limited})
	}
	return m
}

func decodeReport(m *wirepb.LimitReport) rationer.Report {
	interval := time.Duration(m.GetIntervalMs()) * time.Millisecond
	r := rationer.Report{Sequence: m.GetSequence(), Nodes: int(m.GetNodes()), Interval: min(interval, maxReportInterval)}
	for _, u := range m.GetUses() {
		r.Uses = append(r.Uses, rationer.Use{Firm: u.GetFirm(), Used: int(u.GetUsed()), Refused: int(u.GetRefused()), Limited: u.GetLimited()})
	}
	return r
}

func encodePace(p rationer.Pace) *wirepb.LimitPace {
	m := &wirepb.LimitPace{Sequence: p.Sequence, Nodes: uint32(max(p.Nodes, 0))}
	for firm, ratio := range p.Ratios {
		m.Paces = append(m.Paces, &wirepb.FirmPace{Firm: firm, Ratio: float32(ratio)})
	}
	return m
}

// decodePace returns the answer of a keeper. Ratios that are not from 0 to 1 count as 0.
func decodePace(m *wirepb.LimitPace) rationer.Pace {
	p := rationer.Pace{Sequence: m.GetSequence(), Nodes: int(m.GetNodes())}
	if len(m.GetPaces()) > 0 {
		p.Ratios = make(map[string]float64, len(m.GetPaces()))
	}
	for _, f := range m.GetPaces() {
		ratio := float64(f.GetRatio())
		if !(ratio >= 0 && ratio <= 1) {
			ratio = 0
		}
		p.Ratios[f.GetFirm()] = ratio
	}
	return p
}
