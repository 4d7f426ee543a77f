package standin

import "strconv"

// Replies of a backend, as they stand on the wire.
const (
	replyOK             = "+OK\r\n"
	replyRejected       = "-BUSY\r\n"
	replyMalformed      = "-SYNTAX\r\n"
	replyUnknownCommand = "-ERR unknown command\r\n"
	nullBulkString      = "$-1\r\n"
)

// BulkString returns s as a bulk string of RESP.
func BulkString(s string) string {
	return "$" + strconv.Itoa(len(s)) + "\r\n" + s + "\r\n"
}

// ServedReply returns a backend's reply to a request that was served: the value, no settled units, and the load report,
// where that is not empty.
func ServedReply(value, loadReport string) string {
	report := nullBulkString
	if loadReport != "" {
		report = BulkString(loadReport)
	}
	return "*3\r\n" + BulkString(value) + nullBulkString + report
}
