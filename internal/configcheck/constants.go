package configcheck

const (
	// maxAnswerBytes bounds one answer held in memory.
	maxAnswerBytes = 32 << 20
)
