package composer

import (
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// failingListener fails with the errors in order and then accepts.
type failingListener struct {
	*pipeListener
	errors []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errors) == 0 {
		return l.pipeListener.Accept()
	}
	err := l.errors[0]
	l.errors = l.errors[1:]
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
}

// TestShortageOfDescriptors guards against a node that ends because it has no free
// descriptor for a connection at one moment.
func TestShortageOfDescriptors(t *testing.T) {
	accept := func(t *testing.T, closes bool, failures ...error) (failed int, err error) {
		t.Helper()
		synctest.Test(t, func(*testing.T) {
			inner := &failingListener{pipeListener: newPipeListener(), errors: failures}
			l := newPatientListener(inner, func(error) { failed++ })
			done := make(chan struct{})
			time.AfterFunc(0, func() {
				defer close(done)
				var conn net.Conn
				if conn, err = l.Accept(); err == nil {
					_ = conn.Close()
				}
			})
			if closes {
				time.Sleep(minAcceptPause / 2)
				_ = l.Close()
			} else if failures == nil || isPassing(failures[len(failures)-1]) {
				_ = inner.connect().Close()
			}
			<-done
		})
		return failed, err
	}
	t.Run("a shortage passes", func(t *testing.T) {
		failed, err := accept(t, false, syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED)
		assert.NilError(t, err)
		assert.Equal(t, failed, 3)
	})
	t.Run("another failure ends the listener", func(t *testing.T) {
		failed, err := accept(t, false, syscall.EINVAL)
		assert.ErrorIs(t, err, syscall.EINVAL)
		assert.Equal(t, failed, 0)
	})
	t.Run("a listener that is closed does not wait", func(t *testing.T) {
		_, err := accept(t, true, syscall.EMFILE)
		assert.ErrorIs(t, err, net.ErrClosed)
	})
}

func TestCallerConnectionsFitDescriptors(t *testing.T) {
	var limit syscall.Rlimit
	assert.NilError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit))
	assert.Equal(t, maxCallerConnections(1), 1)
	assert.Assert(t, uint64(maxCallerConnections(1<<30)) <= limit.Cur/2)
}

// TestFullListener checks that connections are freed when all slots are taken.
func TestFullListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := newPipeListener()
		var first net.Conn
		l := newBoundedListener(inner, 1, func() { _ = first.Close() })
		time.AfterFunc(0, func() { _ = inner.connect().Close() })
		first, _ = l.Accept()
		time.AfterFunc(0, func() { _ = inner.connect().Close() })
		second, err := l.Accept()
		assert.NilError(t, err)
		_ = second.Close()
	})
}
