package gossiper

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/logger"
)

// UDP sends and receives packets on one socket.
type UDP struct {
	// Log receives an event for refused packets, at most one per refusedLogPeriod.
	Log *logger.Logger
	// OnPacket, if not nil, is called for each packet that was sent or received.
	OnPacket func(d linker.Direction, bytes int)
	conn     *net.UDPConn
}

// refusedLogPeriod is the minimum time between two log events about refused packets.
const refusedLogPeriod = 1 * time.Second

// ListenUDP opens the socket at the node's own address, given as ip:port.
func ListenUDP(ctx context.Context, address string) (*UDP, error) {
	var listen net.ListenConfig
	conn, err := listen.ListenPacket(ctx, "udp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for packets at %s", address)
	}
	return &UDP{conn: conn.(*net.UDPConn)}, nil
}

// Address returns the local address of the socket.
func (u *UDP) Address() string { return u.conn.LocalAddr().String() }

// Send sends one packet.
func (u *UDP) Send(_ context.Context, address string, packet []byte) error {
	if len(packet) > MaxPacketBytes {
		return &OversizedError{Bytes: len(packet), Limit: MaxPacketBytes}
	}
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return eris.Wrap(err, "parse receiver address")
	}
	n, err := u.conn.WriteToUDPAddrPort(packet, to)
	if err == nil {
		u.count(linker.DirectionSent, n)
	}
	return err
}

func (u *UDP) count(d linker.Direction, bytes int) {
	if u.OnPacket != nil {
		u.OnPacket(d, bytes)
	}
}

// Receive posts received packets until ctx ends, and then closes the socket.
func (u *UDP) Receive(ctx context.Context, dataCentre string, post blackboard.Post) error {
	stop := context.AfterFunc(ctx, func() { _ = u.conn.Close() })
	defer stop()
	buf := make([]byte, MaxPacketBytes+1)
	var nextLog time.Time
	refused := 0
	for {
		n, from, err := u.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue // on a UDP socket, an error reports that an earlier packet could not be delivered
		}
		u.count(linker.DirectionReceived, n)
		now := time.Now()
		address := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
		if err = Receive(buf[:n], address, dataCentre, now, post); err == nil {
			continue
		}
		refused++
		if !now.Before(nextLog) {
			u.Log.Write(logger.PacketRefused, logger.Fields{Peer: address, Err: err, Count: refused})
			nextLog = now.Add(refusedLogPeriod)
			refused = 0
		}
	}
}

// Receive validates one packet and posts its content. It does not retain data.
func Receive(data []byte, from, dataCentre string, now time.Time, post blackboard.Post) error {
	p, err := Decode(data, dataCentre)
	if err != nil {
		return err
	}
	post(blackboard.PacketReceived{From: from, Packet: p, Now: now})
	if p.GetVersion() > 0 {
		post(blackboard.PeerVersionReported{Host: p.GetHost(), Address: from, Version: p.GetVersion()})
	}
	return nil
}
