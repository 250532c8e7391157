package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"dalefront/internal/dynconfig"
	"dalefront/internal/peer"
	"dalefront/wire"
)

// shownDocument is a document in JSON.
type shownDocument struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	Body any    `json:"body"`
}

// shownDocuments is the output of `config get --json`.
type shownDocuments struct {
	Documents  []shownDocument `json:"documents"`
	Generation uint64          `json:"generation"`
}

func printDocuments(out io.Writer, response *peer.ConfigReadResponse, asJSON bool) error {
	if asJSON {
		shown := shownDocuments{Documents: []shownDocument{}, Generation: response.Generation}
		for _, document := range response.Documents {
			shown.Documents = append(shown.Documents, shownDocument{document.Kind, document.Name, readableBody(document.Kind, document.Body)})
		}
		return json.NewEncoder(out).Encode(shown)
	}
	fmt.Fprintf(out, "generation %d\n", response.Generation)
	for _, document := range response.Documents {
		fmt.Fprintf(out, "%s: %s\n", document.ID(), bodyText(document.Kind, document.Body))
	}
	return nil
}

// shownChange is a change of a document in JSON; before or after is null if it was added or
// removed.
type shownChange struct {
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Before any    `json:"before"`
	After  any    `json:"after"`
}

// shownGeneration is an entry of the history in JSON.
type shownGeneration struct {
	Number  uint64        `json:"generation"`
	At      time.Time     `json:"at"`
	By      string        `json:"by"`
	Apply   string        `json:"apply"`
	Changes []shownChange `json:"changes"`
}

func printHistory(out io.Writer, history []dynconfig.History, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(shownHistory(history))
	}
	for _, entry := range history {
		at := time.UnixMicro(entry.At).UTC().Format(time.RFC3339)
		fmt.Fprintf(out, "generation %d, %s, by %q, apply %s\n", entry.Generation, at, entry.Author, entry.ApplyID)
		for _, change := range entry.Changes {
			printChange(out, &change)
		}
	}
	return nil
}

func shownHistory(history []dynconfig.History) []shownGeneration {
	all := []shownGeneration{}
	for _, entry := range history {
		shown := shownGeneration{Number: entry.Generation, At: time.UnixMicro(entry.At).UTC(), By: entry.Author, Apply: entry.ApplyID}
		for _, change := range entry.Changes {
			shown.Changes = append(shown.Changes, shownChange{
				change.Kind, change.Name, readableBody(change.Kind, change.Before), readableBody(change.Kind, change.After),
			})
		}
		all = append(all, shown)
	}
	return all
}

// shownStatus is the output of `config status --json`.
type shownStatus struct {
	Controllers []controllerConfig `json:"controllers"`
	Stored      uint64             `json:"stored"` // generation
}

func printStatus(out io.Writer, stored uint64, all []controllerConfig, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(shownStatus{all, stored})
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "stored: generation %d\n", stored)
	for _, controller := range all {
		switch {
		case !controller.Answers:
			fmt.Fprintf(table, "%s\tdoes not answer, or knows no such configuration\n", controller.Label)
		case !controller.Known:
			fmt.Fprintf(table, "%s\thas not read the configuration yet\n", controller.Label)
		default:
			fmt.Fprintf(table, "%s\tgeneration %d\tsince %s\n", controller.Label, controller.Generation, controller.Since.Format(time.RFC3339Nano))
		}
		for _, document := range controller.Unusable {
			fmt.Fprintf(table, "%s\tcan't use %s\n", controller.Label, document)
		}
	}
	return table.Flush()
}

func printChange(out io.Writer, change *dynconfig.HistoryChange) {
	before, after := bodyText(change.Kind, change.Before), bodyText(change.Kind, change.After)
	switch {
	case change.Before == nil:
		fmt.Fprintf(out, "  + %s/%s: %s\n", change.Kind, change.Name, after)
	case change.After == nil:
		fmt.Fprintf(out, "  - %s/%s: %s\n", change.Kind, change.Name, before)
	default:
		fmt.Fprintf(out, "  ~ %s/%s: %s, was %s\n", change.Kind, change.Name, after, before)
	}
}

// readableBody is a document's body with the names that files have. One of an unknown kind is as
// it is stored.
func readableBody(kind string, body []byte) any {
	if body == nil {
		return nil
	}
	if readable, err := dynconfig.DecodeFields(kind, body); err == nil {
		return readable
	}
	var stored any
	_ = wire.Unmarshal(body, &stored) // what can't be decoded either is shown as null
	return stored
}

func bodyText(kind string, body []byte) string {
	text, err := json.Marshal(readableBody(kind, body))
	if err != nil {
		return err.Error()
	}
	return string(text)
}
