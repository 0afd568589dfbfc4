package quorum

// Message is a message between voters. Package quorum defines its content.
type Message struct{}
