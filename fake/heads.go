package fake

// BadStatuses returns responses, by name, whose status is none that a response to a plain request can have. lines are the sound header lines
// of each.
func BadStatuses(lines string) map[string]string {
	const body = "Content-Length: 2\r\n\r\nok"
	return map[string]string{
		"000":                   "HTTP/1.1 000 OK\r\n" + lines + body,
		"000, without length":   "HTTP/1.1 000 OK\r\n" + lines + "\r\nok",
		"099":                   "HTTP/1.1 099 OK\r\n" + lines + body,
		"a sign":                "HTTP/1.1 +20 OK\r\n" + lines + body,
		"an unasked upgrade":    "HTTP/1.1 101 Switching Protocols\r\n" + lines + "Connection: Upgrade\r\nUpgrade: x\r\n\r\nok",
		"an upgrade, then more": "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n" + lines + body,
		"000 behind an interim": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\n" + lines + body,
	}
}

// UnusualStatuses returns sound responses, by name, each with the status 299 or above, the body "ok" and the given header lines.
func UnusualStatuses(lines string) map[string]string {
	const body = "Content-Length: 2\r\n\r\nok"
	return map[string]string{
		"299":                     "HTTP/1.1 299 Fine\r\n" + lines + body,
		"599":                     "HTTP/1.1 599 Failed\r\n" + lines + body,
		"600":                     "HTTP/1.1 600 Failed\r\n" + lines + body,
		"999":                     "HTTP/1.1 999 Denied\r\n" + lines + body,
		"no reason phrase":        "HTTP/1.1 299 \r\n" + lines + body,
		"no blank for a reason":   "HTTP/1.1 299\r\n" + lines + body,
		"behind interim statuses": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Busy\r\n" + lines + "\r\nHTTP/1.1 299 Fine\r\n" + lines + body,
	}
}

// BadFields returns responses, by name, whose heads break the grammar of HTTP in a line behind the status. In most of them that line was meant to say
// where the body ends. lines are the sound header lines of each.
func BadFields(lines string) map[string]string {
	const (
		ok     = "HTTP/1.1 200 OK\r\n"
		length = "Content-Length: 2\r\n\r\nok"
		chunks = ": chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	)
	return map[string]string{
		"a blank in a name":               ok + lines + "Transfer Encoding" + chunks,
		"a blank in another name":         ok + lines + "X Note: a\r\n" + length,
		"a blank behind a name":           ok + lines + "Transfer-Encoding " + chunks,
		"a blank before a name":           ok + lines + " Transfer-Encoding" + chunks,
		"a tab before a name":             ok + lines + "\tTransfer-Encoding" + chunks,
		"a blank before the first name":   ok + " Transfer-Encoding" + chunks,
		"a blank before the end":          ok + lines + "Content-Length: 2\r\n \r\nok",
		"a tab in a name":                 ok + lines + "Transfer\tEncoding" + chunks,
		"a control byte in a name":        ok + lines + "Transfer\x01Encoding" + chunks,
		"NUL in a name":                   ok + lines + "Transfer\x00Encoding" + chunks,
		"a CR in a name":                  ok + lines + "Transfer\rEncoding" + chunks,
		"a name beyond ASCII":             ok + lines + "Transfer\xe9Encoding" + chunks,
		"no name":                         ok + lines + chunks,
		"no colon":                        ok + lines + "Transfer-Encoding chunked\r\n" + length,
		"NUL in a value":                  ok + lines + "X-Note: a\x00b\r\n" + length,
		"a control byte in a value":       ok + lines + "X-Note: a\x01b\r\n" + length,
		"DEL in a value":                  ok + lines + "X-Note: a\x7fb\r\n" + length,
		"a CR in a value":                 ok + lines + "X-Note: a\rb\r\n" + length,
		"a control byte in the reason":    "HTTP/1.1 200 O\x01K\r\n" + lines + length,
		"chunks in HTTP/1.0":              "HTTP/1.0 200 OK\r\n" + lines + "Transfer-Encoding" + chunks,
		"another version of HTTP":         "HTTP/0.9 200 OK\r\n" + lines + length,
		"a blank in an interim head":      "HTTP/1.1 103 Early Hints\r\nLi nk: a\r\n\r\n" + ok + lines + length,
		"a blank behind an interim head":  "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + ok + lines + "Transfer Encoding" + chunks,
		"a status line in the same place": ok + lines + "HTTP/1.1 200 OK\r\n" + length,
	}
}

// JoinedHeads returns responses, by name, whose head was broken off and went on with that of another response. lines are sound header lines
// of both.
func JoinedHeads(lines string) map[string]string {
	const (
		ok     = "HTTP/1.1 200 OK\r\n"
		other  = "HTTP/1.1 503 Busy\r\n"
		length = "Content-Length: 2\r\n\r\nno"
	)
	return map[string]string{
		"in a value":               ok + lines + "X-Note: a" + other + length,
		"before a value":           ok + lines + "X-Note: " + other + length,
		"in the first value":       ok + "X-Note: a" + other + lines + length,
		"in the last value":        ok + lines + "Content-Length: 2\r\nX-Note: a" + other + "\r\nno",
		"in a reason":              "HTTP/1.1 200 O" + other + lines + length,
		"before a reason":          "HTTP/1.1 200 " + other + lines + length,
		"without a reason":         ok + lines + "X-Note: aHTTP/1.1 503\r\n" + length,
		"in a value, HTTP/1.0":     ok + lines + "X-Note: aHTTP/1.0 503 Busy\r\n" + length,
		"two in a value":           ok + lines + "X-Note: aHTTP/1.1 5HTTP/1.1 503 Busy\r\n" + length,
		"without length":           ok + lines + "X-Note: a" + other + "\r\nno",
		"behind an interim head":   "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + ok + lines + "X-Note: a" + other + length,
		"an interim head":          "HTTP/1.1 103 Early Hints\r\nLink: a" + ok + lines + "\r\n" + ok + lines + length,
		"an interim head's reason": "HTTP/1.1 103 Early" + ok + lines + "\r\n" + ok + lines + length,
	}
}

// UnusualFields returns sound responses, by name, with the body "ok", the given header lines and the header X-Note of the given value.
func UnusualFields(lines, note string) map[string]string {
	const length = "Content-Length: 2\r\n\r\nok"
	held := lines + "X-Note: " + note + "\r\n"
	return map[string]string{
		"every byte of a name":   "HTTP/1.1 200 OK\r\n" + held + "!#$%&'*+-.^_`|~0123456789abcXYZ: a\r\n" + length,
		"a name of one byte":     "HTTP/1.1 200 OK\r\n" + held + "~: a\r\n" + length,
		"an empty value":         "HTTP/1.1 200 OK\r\n" + held + "X-Empty:\r\n" + length,
		"blanks round a value":   "HTTP/1.1 200 OK\r\n" + lines + "X-Note: \t " + note + " \t \r\n" + length,
		"colons in a value":      "HTTP/1.1 200 OK\r\n" + held + "X-Time: 12:00:00\r\n" + length,
		"lines without CR":       "HTTP/1.1 200 OK\n" + held + "Content-Length: 2\n\nok",
		"HTTP/1.0":               "HTTP/1.0 200 OK\r\n" + held + length,
		"a reason beyond ASCII":  "HTTP/1.1 200 Tr\xe8s bien\r\n" + held + length,
		"interim heads before":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n" + held + length,
		"a body like a bad head": "HTTP/1.1 200 OK\r\n" + held + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	}
}
