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
