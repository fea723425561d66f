package engine

import (
	"crypto/sha256"
	"encoding/binary"
	"strings"

	"github.com/citronglade/citronglade/internal/base/unit"
)

var (
	words = []string{
		"de ", "vat ", "stave ", "oak ", "profiel ", "learner ", "één ", "naïef ", "größe ", "lot ", "ring ",
		"table ", "hoop ", "grain ", "Åsa ", "and ", "with ", "coöperatie ", "dry ", "taal ",
	}
	// splitCharacters are characters that span two tokens: the first token ends within the character.
	splitCharacters = []string{"🛢", "🍋", "语", "ö"}
)

// Message is one message of a chat prompt.
type Message struct {
	Role    string
	Content string
}

// ChatPrompt returns the text that the engine sees for a chat prompt.
func ChatPrompt(messages []Message) string {
	var text strings.Builder
	for _, message := range messages {
		text.WriteString(message.Role + "\n" + message.Content + "\n")
	}
	return text.String()
}

// Output returns the text of the first tokens of the answer to a prompt. It is the same on every engine with these weights that announces
// no software version.
func Output(prompt string, weights unit.WeightsVersion, seed int64, tokens int) string {
	return OutputOf(prompt, weights, "", seed, tokens)
}

// OutputOf is like Output, for engines with the given software version.
func OutputOf(prompt string, weights unit.WeightsVersion, software unit.SoftwareVersion, seed int64, tokens int) string {
	return newGenerator(prompt, weights, software, seed).text(0, tokens)
}

// generator generates the tokens of one answer. A token depends only on prompt, weights, software version, seed and token index, so that
// an engine can continue an answer that another engine of its version began.
type generator struct {
	key [sha256.Size]byte
}

func newGenerator(prompt string, weights unit.WeightsVersion, software unit.SoftwareVersion, seed int64) generator {
	content := sha256.Sum256([]byte(prompt))
	data := append(content[:], weights...)
	data = append(data, software...)
	data = binary.BigEndian.AppendUint64(data, uint64(seed))
	return generator{key: sha256.Sum256(data)}
}

// token returns the text that the token with this index adds to the answer. Tokens are generated in pairs, and some pairs
// share a character. The first token of such a pair adds no text; the second one adds the complete character.
func (g generator) token(index int) string {
	pair := g.hash(index / 2)
	split := pair%4 == 0
	switch {
	case split && index%2 == 0:
		return ""
	case split:
		return splitCharacters[(pair>>8)%uint64(len(splitCharacters))] + " "
	case index%2 == 0:
		return words[(pair>>8)%uint64(len(words))]
	default:
		return words[(pair>>32)%uint64(len(words))]
	}
}

func (g generator) text(from, until int) string {
	var text strings.Builder
	for index := from; index < until; index++ {
		text.WriteString(g.token(index))
	}
	return text.String()
}

func (g generator) hash(pair int) uint64 {
	data := binary.BigEndian.AppendUint64(g.key[:len(g.key):len(g.key)], uint64(pair))
	sum := sha256.Sum256(data)
	return binary.BigEndian.Uint64(sum[:8])
}
