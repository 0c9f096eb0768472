// Command caller-standin sends a bounded number of requests for demonstrations:
// reads, one booking and one streamed upload with a checksum. It prints one line
// for each outcome and ends with code 1 when an answer is not as expected.
package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"hash"
	"io"
	"net/http"
	"os"
	"time"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/targeter"
)

const (
	totalTimeout = 5 * time.Minute
	maxReads     = 10_000
	maxUploadMB  = 4096
	megabyte     = 1 << 20
)

type settings struct {
	node       string
	readPath   string
	reads      int
	bookPath   string
	key        string
	uploadPath string
	uploadMB   int
	// pauseEvery slows an upload: the time that one megabyte takes at least.
	pauseEvery time.Duration
}

func parse() settings {
	var s settings
	flag.StringVar(&s.node, "node", "", "address for callers of any node, as ip:port")
	flag.StringVar(&s.readPath, "read", "", "path to read; empty sends no reads")
	flag.IntVar(&s.reads, "reads", 10, "number of reads")
	flag.StringVar(&s.bookPath, "book", "", "path to post one booking to; empty sends none")
	flag.StringVar(&s.key, "key", "", "idempotency key of the booking")
	flag.StringVar(&s.uploadPath, "upload", "", "path to upload to; empty uploads nothing")
	flag.IntVar(&s.uploadMB, "upload-mb", 16, "size of the upload in MB")
	flag.DurationVar(&s.pauseEvery, "pause-every-mb", 0, "pause after each megabyte of the upload")
	flag.Parse()
	return s
}

func main() {
	s := parse()
	if s.node == "" || s.reads > maxReads || s.uploadMB > maxUploadMB || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(2)
	}
	ctx, cancel := context.WithTimeout(context.Background(), totalTimeout)
	defer cancel()
	if !run(ctx, s) {
		os.Exit(1) //nolint:gocritic // nothing is left to cancel
	}
}

// run sends all requests and tells whether each had the expected answer.
func run(ctx context.Context, s settings) bool {
	ok := true
	if s.readPath != "" {
		ok = reads(ctx, s) && ok
	}
	if s.bookPath != "" {
		ok = book(ctx, s) && ok
	}
	if s.uploadPath != "" {
		ok = upload(ctx, s) && ok
	}
	return ok
}

func reads(ctx context.Context, s settings) bool {
	byOutcome := map[string]int{}
	for range s.reads {
		a := send(ctx, s, http.MethodGet, s.readPath, nil)
		byOutcome[a.outcome]++
	}
	fmt.Printf("reads: %d done, %d not-run, %d unknown, %d without an answer\n",
		byOutcome["done"], byOutcome["not-run"], byOutcome["unknown"], byOutcome[""])
	return byOutcome["done"] == s.reads
}

func book(ctx context.Context, s settings) bool {
	a := send(ctx, s, http.MethodPost, s.bookPath, nil)
	fmt.Printf("booking: outcome %s, status %d %s\n", a.outcome, a.status, a.reason)
	return a.outcome == "done"
}

func upload(ctx context.Context, s settings) bool {
	body := &pattern{left: int64(s.uploadMB) * megabyte, sum: sha256.New(), pauseEvery: s.pauseEvery}
	a := send(ctx, s, http.MethodPost, s.uploadPath, body)
	var got targeter.Answer
	same := json.Unmarshal(a.body, &got) == nil && got.SHA256 == hex.EncodeToString(body.sum.Sum(nil))
	fmt.Printf("upload of %d MB: outcome %s, status %d %s, checksum equal: %t\n", s.uploadMB, a.outcome, a.status, a.reason, same)
	return a.outcome == "done" && same
}

// answer is what came back; outcome is empty when nothing whole did.
type answer struct {
	outcome, reason string
	status          int
	body            []byte
}

func send(ctx context.Context, s settings, method, path string, body io.Reader) answer {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.node+path, body)
	if err != nil {
		return answer{reason: err.Error()}
	}
	if s.key != "" && method == http.MethodPost && body == nil {
		req.Header.Set(exchanger.HeaderIdempotencyKey, s.key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{reason: err.Error()}
	}
	defer resp.Body.Close() //nolint:errcheck // read to its end
	out := answer{status: resp.StatusCode, reason: resp.Header.Get(exchanger.HeaderReason)}
	if out.body, err = io.ReadAll(resp.Body); err != nil {
		return answer{reason: err.Error()}
	}
	out.outcome = resp.Header.Get(exchanger.HeaderOutcome)
	return out
}

// pattern is a body that is made while it is sent.
type pattern struct {
	left int64
	sent int64
	sum  hash.Hash
	// pauseEvery is waited after each megabyte.
	pauseEvery time.Duration
}

// Read fills b with bytes that depend on their place.
func (p *pattern) Read(b []byte) (int, error) {
	if p.left == 0 {
		return 0, io.EOF
	}
	n := int(min(int64(len(b)), p.left, megabyte-p.sent%megabyte))
	for i := range b[:n] {
		b[i] = byte((p.sent + int64(i)) % 251)
	}
	_, _ = p.sum.Write(b[:n])
	p.sent += int64(n)
	p.left -= int64(n)
	if p.sent%megabyte == 0 && p.pauseEvery > 0 {
		time.Sleep(p.pauseEvery)
	}
	return n, nil
}
