package validator

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
)

// Transport is an http.RoundTripper that fails the calls whose answers have a malformed
// head, and closes the connections of those.
type Transport struct{ Base http.RoundTripper }

// RoundTrip returns a *MalformedError if the head of the answer is malformed.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn }}
	resp, err := t.Base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckResponse(resp); err != nil {
		if conn != nil {
			_ = conn.Close()
		}
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the base.
func (t *Transport) CloseIdleConnections() {
	if base, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

// CheckResponse checks the head of an answer that net/http has read. It knows no longer of
// folded lines, nor of a transfer encoding in HTTP/1.0: both only add to a value or a body.
func CheckResponse(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return &MalformedError{Rule: RuleVersion, Detail: resp.Proto}
	}
	if !IsFinalStatus(resp.StatusCode) {
		return &MalformedError{Rule: RuleStatus, Detail: resp.Status}
	}
	if _, reason, _ := strings.Cut(resp.Status, " "); !isText(reason) {
		return &MalformedError{Rule: RuleStatusLine, Detail: resp.Status}
	}
	return CheckFields(resp.Header)
}
