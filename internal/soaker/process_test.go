package soaker

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// grace is how long a process may take to end after SIGTERM.
const grace = 6 * time.Second

// buildNode returns the path of the program, built once a test.
func buildNode(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "gentian-node")
	out, err := exec.Command("go", "build", "-o", path, "gentianbarrow.example/cmd/gentian-node").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return path
}

// process is a program that is started again and again. Only processes that it
// started itself are sent signals.
type process struct {
	program, settings, log string

	mu sync.Mutex
	// running is nil while no process runs. Guarded by mu.
	running *os.Process
	// ended is closed when the running process has ended. Guarded by mu.
	ended chan struct{}
	// starts counts the processes. Guarded by mu.
	starts int
	// held keeps the process from being started while it is above 0. Guarded by mu.
	held int
}

func (p *process) start(t *testing.T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running != nil || p.held > 0 {
		return
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		t.Errorf("log of a node: %v", err)
		return
	}
	cmd := exec.Command(p.program, "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		t.Errorf("start of a node: %v", err)
		return
	}
	p.starts++
	ended := make(chan struct{})
	p.running, p.ended = cmd.Process, ended
	waiting.Go(func() {
		_ = cmd.Wait()
		_ = log.Close()
		p.mu.Lock()
		p.running = nil
		p.mu.Unlock()
		close(ended)
	})
}

// waiting holds a goroutine for each process that has not ended.
var waiting sync.WaitGroup

// signal tells whether there was a process to send it to, and when that has ended.
func (p *process) signal(s syscall.Signal) (ended <-chan struct{}, sent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil || p.running.Signal(s) != nil {
		return nil, false
	}
	return p.ended, true
}

// hold keeps the process down from now on, until release has been called as often.
func (p *process) hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held++
}

func (p *process) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held--
}

func (p *process) incarnation() (n int, runs bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts, p.running != nil
}

// kill ends the process at once.
func (p *process) kill() {
	if ended, sent := p.signal(syscall.SIGKILL); sent {
		<-ended
	}
}

// stop asks the process to end, and forces it to after the grace time. It
// returns false when it had to.
func (p *process) stop() bool {
	ended, sent := p.signal(syscall.SIGTERM)
	if !sent {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(grace):
		p.kill()
		return false
	}
}
