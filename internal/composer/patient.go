package composer

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// minAcceptPause and maxAcceptPause bound the pause after a connection could not be
	// accepted. It doubles with each failure in a row.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 200 * time.Millisecond
)

// patientListener goes on accepting after a failure that passes, such as a shortage of
// descriptors. Connections wait in the accept queue of the kernel in the meantime.
type patientListener struct {
	net.Listener
	// onFailure is called with each failure that passes.
	onFailure func(err error)
	done      chan struct{}
	once      sync.Once
}

func newPatientListener(ln net.Listener, onFailure func(err error)) *patientListener {
	return &patientListener{Listener: ln, onFailure: onFailure, done: make(chan struct{})}
}

// Accept returns an error only if no further connection will be accepted.
func (l *patientListener) Accept() (net.Conn, error) {
	for pause := minAcceptPause; ; pause = min(2*pause, maxAcceptPause) {
		conn, err := l.Listener.Accept()
		if err == nil || !isPassing(err) {
			return conn, err
		}
		l.onFailure(err)
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-l.done:
			timer.Stop()
			return nil, net.ErrClosed
		}
	}
}

// Close closes the listener. It also ends the pause of an Accept.
func (l *patientListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// isPassing reports whether a later call of Accept may succeed: the process or the host is
// out of a resource, or the peer has given up the connection.
func isPassing(err error) bool {
	for _, errno := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO, syscall.EINTR,
	} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// isShortage reports whether descriptors or memory for a connection are lacking.
func isShortage(err error) bool {
	return isPassing(err) && !errors.Is(err, syscall.ECONNABORTED) && !errors.Is(err, syscall.EPROTO) && !errors.Is(err, syscall.EINTR)
}

// maxCallerConnections returns how many connections of callers may be open: the
// configured number, and at most half of the descriptors of the process, since the rest
// is for other nodes, the target and the platform.
func maxCallerConnections(configured int) int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return configured
	}
	return min(configured, max(int(min(limit.Cur, 1<<20))/2, 1))
}
