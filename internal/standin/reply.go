package standin

import "strconv"

// Replies of a backend on the wire.
const (
	replyOK             = "+OK\r\n"
	replyRejected       = "-BUSY\r\n"
	replyMalformed      = "-SYNTAX\r\n"
	replyUnknownCommand = "-ERR unknown command\r\n"
	nullBulkString      = "$-1\r\n"
)

// BulkString encodes s as a RESP bulk string.
func BulkString(s string) string {
	return "$" + strconv.Itoa(len(s)) + "\r\n" + s + "\r\n"
}

// ServedReply encodes a backend's reply to a request that was served. It holds the value, null for the settled units, and
// the load report, or null if that is empty.
func ServedReply(value, loadReport string) string {
	report := nullBulkString
	if loadReport != "" {
		report = BulkString(loadReport)
	}
	return "*3\r\n" + BulkString(value) + nullBulkString + report
}
