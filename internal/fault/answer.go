package fault

// AnswerDefect is what is wrong with a backend's answers to the lines of its clients.
type AnswerDefect uint8

// The defects.
const (
	NoAnswerDefect   AnswerDefect = iota
	UnfinishedAnswer              // bytes keep coming, but no line end
	OverlongAnswer                // as many bytes as the longest line, without a line end
)

// The kinds of fault during which backends send such answers.
const (
	KindUnfinishedAnswers = "answers unfinished"
	KindOverlongAnswers   = "answers overlong"
)

// The names under which a run counts such answers.
const (
	CountUnfinishedAnswers = "answer unfinished"
	CountOverlongAnswers   = "answer overlong"
)
