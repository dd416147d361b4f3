package limit

// Single returns how much a single holder is to keep that needs so many bytes: all, or what the Budget has for large holders. So a request
// within the limits is served when nothing else is held, also if it is copied more often than the Budget can count.
func (b *Budget) Single(bytes int) int {
	if b == nil {
		return bytes
	}
	return int(min(int64(bytes), b.config.Large))
}
