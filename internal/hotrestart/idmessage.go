package hotrestart

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// IDMessageKind is what an IDMessage asks for or reports.
type IDMessageKind uint8

// The kinds of messages about request IDs. ClaimID and those about open requests go to the successor, the others to the
// predecessor.
const (
	ShareIDs  IDMessageKind = iota + 1 // asks for the IDs of the open requests; from now on the successor grants claims
	HeldIDs                            // some of the IDs of the predecessor's open requests
	IDsShared                          // all of them have been sent
	ClaimID                            // asks whether a new request of the predecessor may have its ID
	GrantID                            // answers a claim: no other open request has the ID
	DenyID                             // answers a claim: another open request has the ID
	ReleaseID                          // a request of the predecessor has ended
)

// Forms of an encoded message: the prefix, the word of its kind and hexadecimal numbers, separated by spaces.
const (
	// IDMessagePrefix begins each encoded message.
	IDMessagePrefix = "IDS "

	numberBase = 16
	numberBits = 64

	// maxIDsPerMessage keeps an encoded message far below MaxDocumentBytes, the size limit of a line.
	maxIDsPerMessage = 1024
)

// idMessageWords are the words of the kinds. Processes of different versions exchange them.
var idMessageWords = map[IDMessageKind]string{
	ShareIDs:  "SHARE",
	HeldIDs:   "HELD",
	IDsShared: "SHARED",
	ClaimID:   "CLAIM",
	GrantID:   "GRANT",
	DenyID:    "DENY",
	ReleaseID: "RELEASE",
}

// ErrIDMessage is matched by the errors of ParseIDMessage.
var ErrIDMessage = errors.New("malformed message about request IDs")

// IDMessage is a message about request IDs between the two processes of a hot restart.
type IDMessage struct {
	Kind  IDMessageKind
	Claim uint64   // the sender's number of a claim; of ClaimID, GrantID and DenyID
	IDs   []uint64 // of HeldIDs any number, of ClaimID and ReleaseID one
}

// hasClaim reports whether messages of the kind have the number of a claim.
func (k IDMessageKind) hasClaim() bool { return k == ClaimID || k == GrantID || k == DenyID }

// acceptsIDs reports whether messages of the kind may have n IDs.
func (k IDMessageKind) acceptsIDs(n int) bool {
	switch k {
	case HeldIDs:
		return n <= maxIDsPerMessage
	case ClaimID, ReleaseID:
		return n == 1
	}
	return n == 0
}

// Encode returns the message as one line without its line feed.
func (m IDMessage) Encode() string {
	var text strings.Builder
	text.WriteString(IDMessagePrefix + idMessageWords[m.Kind])
	if m.Kind.hasClaim() {
		text.WriteString(" " + strconv.FormatUint(m.Claim, numberBase))
	}
	for _, id := range m.IDs {
		text.WriteString(" " + strconv.FormatUint(id, numberBase))
	}
	return text.String()
}

// ParseIDMessage parses the output of Encode. Its errors match ErrIDMessage.
func ParseIDMessage(line string) (IDMessage, error) {
	text, isMessage := strings.CutPrefix(line, IDMessagePrefix)
	words := strings.Split(text, " ")
	message := IDMessage{Kind: idMessageKind(words[0])}
	if !isMessage || message.Kind == 0 {
		return IDMessage{}, fmt.Errorf("%w: unknown word %q", ErrIDMessage, words[0])
	}
	numbers, err := parseNumbers(words[1:])
	if err != nil {
		return IDMessage{}, err
	}
	if message.Kind.hasClaim() && len(numbers) > 0 {
		message.Claim, numbers = numbers[0], numbers[1:]
	} else if message.Kind.hasClaim() {
		return IDMessage{}, fmt.Errorf("%w: %s without the number of the claim", ErrIDMessage, words[0])
	}
	if !message.Kind.acceptsIDs(len(numbers)) {
		return IDMessage{}, fmt.Errorf("%w: %s with %d IDs", ErrIDMessage, words[0], len(numbers))
	}
	if len(numbers) > 0 {
		message.IDs = numbers
	}
	return message, nil
}

// idMessageKind returns the kind with the given word; 0: there is none.
func idMessageKind(word string) IDMessageKind {
	for kind, known := range idMessageWords {
		if known == word {
			return kind
		}
	}
	return 0
}

func parseNumbers(words []string) (numbers []uint64, err error) {
	for _, word := range words {
		number, err := strconv.ParseUint(word, numberBase, numberBits)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrIDMessage, err)
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}
