package table

// Code is the reason why the platform rejected a request.
type Code string

// Codes of rejected requests.
const (
	CodeConflict Code = "conflict"
	CodeDown     Code = "down"
	CodeMissing  Code = "missing"
)

// ErrorReply is the body of a reply with a status of 400 and above. The statuses 500,
// 502 and 504 leave the outcome of a write unknown.
type ErrorReply struct {
	Code    Code   `json:"code"`
	Reason  string `json:"reason,omitempty"`
	Key     string `json:"key,omitempty"`
	Version uint64 `json:"version,omitempty"`
}

// ReadRequest is the body of a request to read rows.
type ReadRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest is the body of a request to scan rows.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}

// Rows is the body of a reply to a read or a scan.
type Rows struct {
	Rows []Row `json:"rows"`
}

// WriteRequest is the body of a request to write rows.
type WriteRequest struct {
	Ops []Op `json:"ops"`
}
